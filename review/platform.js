/** The platform's promotion call: `POST /promotion` with `service` and `id`. */
import { createServer } from 'node:http';

/** How long after the call the named instance leads. */
const PROMOTION_MS = 300;

export class Platform {
  constructor(record) {
    this.record = record;
    this.groups = new Map();
    /** Promotions that took effect. */
    this.promotions = [];
    /** Calls that were answered with 200. */
    this.calls = 0;
  }

  /** Adds a group of instances. */
  add(group) {
    this.groups.set(group.service, group);
  }

  async listen(host, port) {
    this.server = createServer((request, response) => void this.handle(request, response));
    await new Promise((resolve) => this.server.listen(port, host, resolve));
  }

  close() {
    this.server?.closeAllConnections();
    this.server?.close();
  }

  async handle(request, response) {
    let body = '';
    for await (const chunk of request) body += chunk;
    const status = request.url === '/promotion' ? this.promote(JSON.parse(body), request) : 404;
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end('{}');
  }

  promote({ service, id }, { headers }) {
    const instance = this.groups.get(service)?.find(id);
    const status = instance?.isRunning ? 200 : 409;
    const by = `${headers['whinyoke-lease-holder']}, token ${headers['whinyoke-fencing-token']}`;
    this.record.note('platform', `POST /promotion ${service} ${id} by ${by}: ${status}`);
    if (status === 200) this.calls++;
    if (status === 200 && instance.role !== 'primary') {
      setTimeout(() => this.takeEffect(instance), PROMOTION_MS);
    }
    return status;
  }

  takeEffect(instance) {
    if (!instance.isRunning || instance.role === 'primary') return;
    instance.group.lead(instance);
    this.promotions.push({
      at: performance.now(),
      instance,
      log: instance.log.map(({ request }) => request),
    });
  }
}

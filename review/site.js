/** A whole small site: platform, groups of three instances, three controls and some proxies. */
import { ClientSession } from './client.js';
import { Deployment } from './deployment.js';
import { Group } from './instance.js';
import { Platform } from './platform.js';
import { pause, until } from './record.js';

const ZONES = ['zona-10', 'mixco', 'villa-nueva'];
const FIRST_INSTANCE_HOST = 31;
/** Requests whose names begin so are left out of the record. */
const QUIET = 'reader-';
/** A client gives up on an answer after this time. */
const PATIENCE_MS = 3000;

/** A route of a configuration, with the usual figures of the small sites. */
export function route(hostname, service, type, others = {}) {
  return {
    name: `r-${hostname}`,
    hostname,
    path_prefix: '/',
    route_type: type,
    timeout_ms: 800,
    target_latency_ms: 250,
    priority: 1,
    service,
    retry_attempts: 2,
    ...others,
  };
}

/** A whole configuration. */
export function configuration(version, routes, services) {
  const fields = { health_check_path: '/health', connection_limit: 34, sync_replicas: 1 };
  return {
    version,
    routes,
    services: services.map((name) => ({ name, ...fields })),
    limits: { transaction_idle_ms: 3000 },
  };
}

export class Site {
  /**
   * @param {import('./record.js').Record} record
   * @param {(close: () => void) => void} cleanUp
   * @param {{ proxies: number, services: Record<string, string[]>, spare?: number }} plan services
   *   with the identifiers of their instances, the primary first
   */
  constructor(record, cleanUp, { proxies, services, spare = 0 }) {
    Object.assign(this, { record, services, spare });
    this.deployment = new Deployment({ record, proxies });
    this.platform = new Platform(record);
    this.groups = {};
    this.isOver = false;
    this.instanceCount = 0;
    cleanUp(() => this.deployment.stop());
    cleanUp(() => this.close());
  }

  close() {
    this.isOver = true;
    this.platform.close();
    for (const group of Object.values(this.groups)) group.close();
  }

  /** Starts everything; resolves once the first configuration is in force. */
  async start(firstConfiguration) {
    const { deployment, platform, services, record } = this;
    const count = Object.values(services).flat().length + this.spare;
    this.hosts = [...Array(count).keys()].map((index) => `127.0.0.${FIRST_INSTANCE_HOST + index}`);
    await deployment.prepare(this.hosts);
    await platform.listen(deployment.platform.host, deployment.platform.port);
    for (const [service, ids] of Object.entries(services)) {
      this.groups[service] = new Group(service, record, (id) => id.startsWith(QUIET));
      platform.add(this.groups[service]);
      for (const [index, id] of ids.entries()) {
        await this.addInstance(service, id, index === 0 ? 'primary' : 'replica').start();
      }
    }
    deployment.startControls();
    deployment.startProxies();
    await pause(500);
    await deployment.configure(firstConfiguration);
    await deployment.awaitReady();
  }

  addInstance(service, id, role) {
    const index = this.instanceCount++;
    const { deployment } = this;
    return this.groups[service].add({
      id,
      role,
      host: this.hosts[index],
      zone: ZONES[index % ZONES.length],
      port: deployment.port('instance'),
      controls: deployment.controls,
    });
  }

  /** Opens a session of a client at a proxy. */
  async session(name, proxy, database) {
    const session = new ClientSession({ name, record: this.record, quiet: name.startsWith(QUIET) });
    await Promise.race([session.open(this.deployment.proxy(proxy), database), pause(PATIENCE_MS)]);
    return session;
  }

  /** Runs a statement; the outcome is `none` without an answer in time. */
  async run(session, text) {
    const none = pause(PATIENCE_MS).then(() => ({ id: '', outcome: 'none', rows: [] }));
    return Promise.race([session.query(text), none]);
  }

  /** Runs a statement on a session of its own. */
  async runAlone(name, proxy, database, text) {
    const session = await this.session(name, proxy, database);
    const answer = await this.run(session, text);
    session.close();
    return answer;
  }

  /** Repeats a statement until it succeeds; only for the time before the case begins. */
  async runFirst(name, proxy, database, text) {
    await until(`success of ${text}`, 15_000, async () => {
      const { outcome } = await this.runAlone(name, proxy, database, text);
      if (outcome !== 'ok') await pause(500);
      return outcome === 'ok';
    });
  }

  /** Keeps a session busy with reads, as other clients do; their requests are not recorded. */
  async keepReading(name, proxy, database) {
    while (!this.isOver) {
      const session = await this.session(QUIET + name, proxy, database);
      while (!session.isClosed && !this.isOver) {
        await this.run(session, 'READ slot-0');
        await pause(50);
      }
      session.close();
      await pause(100);
    }
  }
}

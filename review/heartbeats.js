/** The heartbeats of one instance: `POST /instances/ID/heartbeat` at one control after the other. */
import { request as httpRequest } from 'node:http';

/** A heartbeat without an answer within this time goes to the next node. */
const TIMEOUT_MS = 1000;
const RETRY_MS = 100;

/** Sends one JSON call; resolves with its status and body, status 0 without an answer. */
export function call({ host, port }, method, path, body, timeoutMs = TIMEOUT_MS) {
  return new Promise((resolve) => {
    const headers = { 'content-type': 'application/json' };
    const options = { host, port, method, path, headers, timeout: timeoutMs, agent: false };
    const request = httpRequest(options, (response) => {
      let text = '';
      response.on('data', (chunk) => (text += chunk));
      response.on('end', () => resolve({ status: response.statusCode, text }));
      response.on('error', () => resolve({ status: 0, text: '' }));
    });
    request.on('timeout', () => request.destroy(new Error('timeout')));
    request.on('error', () => resolve({ status: 0, text: '' }));
    request.end(body);
  });
}

export class Heartbeats {
  constructor(instance, controls, intervalMs) {
    Object.assign(this, { instance, controls, intervalMs });
    this.sequence = 0;
    this.next = 0;
    this.isStopped = true;
  }

  start() {
    this.isStopped = false;
    this.tell();
  }

  stop() {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  /** Sends a heartbeat now, and then one each interval. */
  tell() {
    if (this.isStopped) return;
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.tell(), this.intervalMs);
    void this.send();
  }

  /** Sends heartbeats until one is acknowledged. */
  async tellUntilAcknowledged() {
    while (!(await this.send())) await new Promise((resolve) => setTimeout(resolve, RETRY_MS));
  }

  async deregister() {
    const path = `/instances/${this.instance.id}/deregister`;
    for (let attempt = 0; attempt < 2 * this.controls.length; attempt++) {
      const { status } = await call(this.node, 'POST', path, '');
      if (status === 200) return true;
      this.next++;
    }
    return false;
  }

  get node() {
    return this.controls[this.next % this.controls.length];
  }

  async send() {
    const { id, group, host, port, zone, slots, state, role } = this.instance;
    this.sequence++;
    const body = JSON.stringify({
      service: group.service,
      address: `${host}:${port}`,
      zone,
      version: 'v1',
      slots,
      state,
      warmup_remaining_ms: 0,
      database_role: role,
      sequence: this.sequence,
    });
    for (let attempt = 0; attempt < this.controls.length && !this.isStopped; attempt++) {
      const { status } = await call(this.node, 'POST', `/instances/${id}/heartbeat`, body);
      if (status >= 200 && status < 300) return true;
      this.next++;
    }
    return false;
  }
}

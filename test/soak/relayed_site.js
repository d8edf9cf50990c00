/** A site of `review/` whose platform is behind a relay, and whose log lines are seen as they are written. */
import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { Deployment } from '../../review/deployment.js';
import { Platform } from '../../review/platform.js';
import { pause } from '../../review/record.js';
import { Site } from '../../review/site.js';
import { CallerSession } from './caller_session.js';
import { InstancePace } from './instance_pace.js';
import { PlatformRelay } from './platform_relay.js';

/** What a control machine logs when it begins to lead. */
const LEADS = '"role":"leader"';

const FIRST_PROXY_HOST = 21;
/** As in `review/site.js`. */
const QUIET = 'reader-';
const PATIENCE_MS = 3000;

class RelayedPlatform extends Platform {
  constructor(record, relay) {
    super(record);
    this.relay = relay;
  }

  /** Listens at a free port; callers reach the relay at the given one. */
  async listen(host, port) {
    await super.listen(host, 0);
    await this.relay.listen(host, port, { host, port: this.server.address().port });
  }

  close() {
    this.relay.close();
    super.close();
  }
}

class WatchedDeployment extends Deployment {
  constructor(options) {
    super(options);
    // A network of their own: more than ten of them would reach the addresses of the instances.
    this.proxyHosts = this.proxyHosts.map((_, index) => `127.0.1.${FIRST_PROXY_HOST + index}`);
    /** Called with the name of a process and what it has just written to its log. */
    this.onOutput = () => {};
    /** Name of the control machine that began to lead last, by its log. */
    this.leader = undefined;
  }

  start(name) {
    super.start(name);
    const { stdout } = this.processes.get(name);
    stdout.prependListener('data', (chunk) => {
      if (chunk.includes(LEADS)) this.leader = name;
      this.onOutput(name, chunk);
    });
  }

  /** The longest time between check and sending of a call of a control machine, in ms, by its log. */
  longestHeldMs(name) {
    const lines = readFileSync(join(this.folder, `${name}.log`), 'utf8').split('\n');
    const sent = lines.filter((line) => line.includes('"stage":"sent"'));
    return Math.max(0, ...sent.map((line) => JSON.parse(line).held_ms));
  }

  /** Control machines found their cluster at their very first start only. */
  forgetFirstStart() {
    for (const index of this.controls.keys()) {
      const file = join(this.folder, `core-${index + 1}.conf`);
      writeFileSync(file, readFileSync(file, 'utf8').replace('bootstrap=true', 'bootstrap=false'));
    }
  }
}

export class RelayedSite extends Site {
  /** @param {InstancePace} pace of the instances; by default none waits */
  constructor(record, cleanUp, plan, pace = new InstancePace(0, 0)) {
    super(record, cleanUp, plan);
    this.pace = pace;
    this.deployment = new WatchedDeployment({ record, proxies: plan.proxies });
    this.relay = new PlatformRelay(record);
    this.platform = new RelayedPlatform(record, this.relay);
  }

  addInstance(service, id, role) {
    return this.pace.applyTo(super.addInstance(service, id, role));
  }

  /** Opens a session of a client at a proxy. */
  async session(name, proxy, database) {
    const session = new CallerSession({ name, record: this.record, quiet: name.startsWith(QUIET) });
    const opened = session.open(this.deployment.proxy(proxy), database);
    await Promise.race([opened, pause(PATIENCE_MS)]);
    return session;
  }
}

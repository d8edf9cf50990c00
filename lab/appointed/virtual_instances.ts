/** Connections from simulated processes to emulated instances. */
import { BackendConnectionLostError } from '../../src/errors/errors.js';
import {
  ConnectError,
  type ConnectFailure,
  type InstanceAnswer,
  type InstanceConnection,
  type InstanceConnector,
  type InstanceTarget,
  type OpenedConnection,
} from '../../src/appointed/instance/instance_connection.js';
import type { InstanceCommand } from '../../src/appointed/instance/statement.js';
import { NO_TENANT } from '../../src/appointed/tenancy/tenant.js';
import { hostOf } from '../../src/runtime/address.js';
import type { Position } from '../../src/positions/position.js';
import type { VirtualNetwork } from '../simulation/virtual_network.js';
import type { VirtualProcess } from '../simulation/virtual_process.js';
import { StreamEnd } from '../simulation/virtual_stream.js';
import type { EmulatedInstance } from './emulated_instance.js';

/** Time that a new connection takes, in milliseconds. */
const HANDSHAKE_MS = 12;

/** An instance drops a connection whose other end is dark after this time, in milliseconds. */
const DARK_CONNECTION_MS = 3000;

type Greeting =
  | { readonly kind: 'opened'; readonly position: Position }
  | { readonly kind: 'refused'; readonly failure: ConnectFailure };

/** A command on its way, with the time of the simulation at which it was sent. */
interface SentCommand {
  readonly command: InstanceCommand;
  readonly sentAt: number;
}

interface PendingRun {
  resolve(answer: InstanceAnswer): void;
  reject(error: Error): void;
}

/** The instance's side of a connection. */
function serve(
  network: VirtualNetwork,
  end: StreamEnd,
  instance: EmulatedInstance,
  target: InstanceTarget,
  tenant: string,
): void {
  const isRight = instance.options.id === target.id && instance.options.group === target.group;
  const session = isRight ? instance.connect(tenant) : undefined;
  if (!session) {
    const failure = isRight ? 'connectionLimit' : 'wrongInstance';
    end.send({ kind: 'refused', failure } satisfies Greeting);
    end.close();
    return;
  }
  const forget = network.onMute(() =>
    instance.process.clock.setTimer(DARK_CONNECTION_MS, () => end.close()),
  );
  end.onClosed = () => {
    forget();
    session.close();
  };
  instance.process.clock.setTimer(HANDSHAKE_MS, () =>
    end.send({ kind: 'opened', position: instance.applied } satisfies Greeting),
  );
  let previous: Promise<void> = Promise.resolve();
  end.onMessage = (message) => {
    const { command, sentAt } = message as SentCommand;
    instance.receive(command, sentAt);
    previous = previous.then(async () => {
      const { answer, fate } = await instance.run(session, command);
      if (fate === 'sent' && instance.process.alive) end.send(answer);
    });
  };
}

class VirtualInstanceConnection implements InstanceConnection {
  onClosed: (() => void) | undefined;
  private readonly pending: PendingRun[] = [];

  constructor(
    private readonly end: StreamEnd,
    private readonly process: VirtualProcess,
  ) {
    end.onMessage = (message) => {
      const waiting = this.pending.shift();
      if (waiting) waiting.resolve(message as InstanceAnswer);
      else this.close();
    };
    end.onClosed = () => this.fail('connection closed');
  }

  get closed(): boolean {
    return !this.end.open;
  }

  run(command: InstanceCommand, timeoutMs: number): Promise<InstanceAnswer> {
    if (this.closed) {
      return Promise.reject(new BackendConnectionLostError('closed', { sent: false }));
    }
    return new Promise((resolve, reject) => {
      const timer = this.process.clock.setTimer(timeoutMs, () => {
        this.fail('no answer in time');
        this.close();
      });
      const settle = (): void => timer.cancel();
      this.pending.push({
        resolve: (answer) => {
          settle();
          resolve(answer);
        },
        reject: (error) => {
          settle();
          reject(error);
        },
      });
      const sentAt = this.process.scheduler.now;
      this.end.send({ command, sentAt } satisfies SentCommand);
    });
  }

  close(): void {
    this.end.close();
  }

  private fail(reason: string): void {
    for (const waiting of this.pending.splice(0)) {
      waiting.reject(new BackendConnectionLostError(reason, { sent: true }));
    }
    this.onClosed?.();
  }
}

/** Connector of one simulated process. */
export class VirtualInstanceConnector implements InstanceConnector {
  constructor(
    private readonly process: VirtualProcess,
    private readonly network: VirtualNetwork,
    /** Running instance at an address. */
    private readonly instanceAt: (address: string) => EmulatedInstance | undefined,
  ) {}

  connect(
    target: InstanceTarget,
    timeoutMs: number,
    tenant = NO_TENANT,
  ): Promise<OpenedConnection> {
    return new Promise((resolve, reject) => {
      const fail = (failure: ConnectFailure): void => {
        timer.cancel();
        reject(new ConnectError(`${target.address}: ${failure}`, { failure }));
      };
      const timer = this.process.clock.setTimer(timeoutMs, () => fail('silent'));
      const greet = (near: StreamEnd): void => {
        near.onMessage = (message) => {
          const greeting = message as Greeting;
          if (greeting.kind === 'refused') {
            fail(greeting.failure);
            return;
          }
          timer.cancel();
          const connection = new VirtualInstanceConnection(near, this.process);
          resolve({ connection, position: greeting.position });
        };
        near.onClosed = () => fail('refused');
      };
      this.arrive(target, tenant, greet, fail);
    });
  }

  private arrive(
    target: InstanceTarget,
    tenant: string,
    greet: (near: StreamEnd) => void,
    fail: (failure: ConnectFailure) => void,
  ): void {
    const from = this.process.host;
    const to = hostOf(target.address);
    const { network } = this;
    if (network.isCut(from, to)) return;
    network.scheduler.schedule(network.delay(from, to), () => {
      const instance = this.instanceAt(target.address);
      if (instance && this.process.alive) {
        const near = new StreamEnd(network, this.process);
        greet(near);
        const far = new StreamEnd(network, instance.process);
        StreamEnd.join(network, near, far);
        instance.process.deliver(() => serve(network, far, instance, target, tenant));
        return;
      }
      if (network.isCut(to, from)) return;
      network.scheduler.schedule(network.delay(to, from), () =>
        this.process.deliver(() => fail('notListening')),
      );
    });
  }
}

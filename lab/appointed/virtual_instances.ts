/** Connections from simulated processes to emulated instances. */
import type {
  InstanceChannel,
  InstanceChannelConnector,
  InstanceMessage,
} from '../../src/appointed/instance/instance_channel.js';
import {
  ConnectError,
  type ConnectFailure,
  type InstanceTarget,
} from '../../src/appointed/instance/instance_connection.js';
import type { InstanceCommand } from '../../src/appointed/instance/statement.js';
import { hostOf } from '../../src/runtime/address.js';
import type { VirtualNetwork } from '../simulation/virtual_network.js';
import type { VirtualProcess } from '../simulation/virtual_process.js';
import { StreamEnd } from '../simulation/virtual_stream.js';
import type { EmulatedInstance, EmulatedSession } from './emulated_instance.js';

/** Time that a new connection takes, in milliseconds. */
const HANDSHAKE_MS = 12;

/** An instance drops a connection whose other end is dark after this time, in milliseconds. */
const DARK_CONNECTION_MS = 3000;

/** A message to an instance; of a command, with the time of the simulation at which it was sent. */
type SentMessage =
  | { readonly kind: 'start'; readonly target: InstanceTarget; readonly tenant: string }
  | { readonly kind: 'command'; readonly command: InstanceCommand; readonly sentAt: number };

/** The instance's side of a connection. */
class ServedConnection {
  private session: EmulatedSession | undefined;
  private previous: Promise<void> = Promise.resolve();

  constructor(
    network: VirtualNetwork,
    private readonly end: StreamEnd,
    private readonly instance: EmulatedInstance,
  ) {
    const forget = network.onMute(() =>
      instance.process.clock.setTimer(DARK_CONNECTION_MS, () => end.close()),
    );
    end.onClosed = () => {
      forget();
      this.session?.close();
    };
    end.onMessage = (message) => this.receive(message as SentMessage);
  }

  private receive(message: SentMessage): void {
    if (message.kind === 'start') {
      this.start(message.target, message.tenant);
      return;
    }
    const { session, instance } = this;
    if (!session) return;
    const { command, sentAt } = message;
    instance.receive(command, sentAt);
    this.previous = this.previous.then(async () => {
      const { answer, fate } = await instance.run(session, command);
      if (fate === 'sent') this.send({ kind: 'answer', answer });
    });
  }

  private start({ id, group }: InstanceTarget, tenant: string): void {
    const { instance } = this;
    const { options } = instance;
    const isRight = options.id === id && options.group === group;
    this.session = isRight ? instance.connect(tenant) : undefined;
    if (!this.session) {
      const kind = isRight ? 'connectionLimit' : 'wrongInstance';
      this.end.send({ kind: 'brokenOff', error: { kind, text: options.id } });
      this.end.close();
      return;
    }
    const greet = (): void => this.send({ kind: 'greeting', position: instance.applied });
    instance.process.clock.setTimer(HANDSHAKE_MS, greet);
  }

  /** Sends a message; now and then a second copy of it, later. */
  private send(message: InstanceMessage): void {
    const { instance, end } = this;
    if (!instance.process.alive) return;
    end.send(message);
    const delayMs = instance.copyDelayMs();
    if (delayMs === undefined) return;
    instance.process.clock.setTimer(delayMs, () => end.send(message));
  }
}

/** The process's side of a connection. */
class VirtualInstanceChannel implements InstanceChannel {
  onMessage: (message: InstanceMessage) => void = () => undefined;
  onClosed: (reason: string) => void = () => undefined;
  /** Messages of the simulator arrive whole. */
  readonly isReceiving = false;
  private isClosedHere = false;

  constructor(
    private readonly end: StreamEnd,
    private readonly process: VirtualProcess,
  ) {
    end.onMessage = (message) => this.onMessage(message as InstanceMessage);
    end.onClosed = () => {
      if (!this.isClosedHere) this.onClosed('connection closed');
    };
  }

  get closed(): boolean {
    return !this.end.open;
  }

  sendStart(target: InstanceTarget, tenant: string): void {
    this.end.send({ kind: 'start', target, tenant } satisfies SentMessage);
  }

  send(command: InstanceCommand): void {
    const sentAt = this.process.scheduler.now;
    this.end.send({ kind: 'command', command, sentAt } satisfies SentMessage);
  }

  close(): void {
    this.isClosedHere = true;
    this.end.close();
  }
}

/** Opens channels of one simulated process. */
export class VirtualInstanceConnector implements InstanceChannelConnector {
  constructor(
    private readonly process: VirtualProcess,
    private readonly network: VirtualNetwork,
    /** Running instance at an address. */
    private readonly instanceAt: (address: string) => EmulatedInstance | undefined,
  ) {}

  open(address: string, timeoutMs: number): Promise<InstanceChannel> {
    return new Promise((resolve, reject) => {
      const fail = (failure: ConnectFailure): void => {
        timer.cancel();
        reject(new ConnectError(`${address}: ${failure}`, { failure }));
      };
      const timer = this.process.clock.setTimer(timeoutMs, () => fail('silent'));
      const connected = (near: StreamEnd): void => {
        timer.cancel();
        resolve(new VirtualInstanceChannel(near, this.process));
      };
      this.arrive(address, connected, fail);
    });
  }

  private arrive(
    address: string,
    connected: (near: StreamEnd) => void,
    fail: (failure: ConnectFailure) => void,
  ): void {
    const from = this.process.host;
    const to = hostOf(address);
    const { network } = this;
    if (network.isCut(from, to)) return;
    network.scheduler.schedule(network.delay(from, to), () => {
      const instance = this.instanceAt(address);
      if (instance && this.process.alive) {
        const near = new StreamEnd(network, this.process);
        const far = new StreamEnd(network, instance.process);
        StreamEnd.join(network, near, far);
        instance.process.deliver(() => new ServedConnection(network, far, instance));
        this.process.deliver(() => connected(near));
        return;
      }
      if (network.isCut(to, from)) return;
      network.scheduler.schedule(network.delay(to, from), () =>
        this.process.deliver(() => fail('notListening')),
      );
    });
  }
}

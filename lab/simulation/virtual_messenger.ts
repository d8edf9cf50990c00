/** Request and response messages between simulated processes. Each message may be lost to a cut. */
import { PeerUnreachableError } from '../../src/errors/errors.js';
import { decodeEnvelope, encodeEnvelope } from '../../src/protocol/envelope.js';
import { hostOf } from '../../src/runtime/address.js';
import type { MessageBody, Messenger, RequestHandler } from '../../src/runtime/runtime.js';
import type { VirtualNetwork } from './virtual_network.js';
import type { VirtualProcess } from './virtual_process.js';

interface Listener {
  readonly process: VirtualProcess;
  readonly handler: RequestHandler;
}

/** Who listens at which address. */
export class AddressBook {
  private readonly listeners = new Map<string, Listener>();

  /** Registers a listener; a later one at the same address takes its place. */
  register(address: string, listener: Listener): void {
    this.listeners.set(address, listener);
  }

  /** Listener of a live process. */
  find(address: string): Listener | undefined {
    const listener = this.listeners.get(address);
    return listener?.process.alive ? listener : undefined;
  }
}

/** Bytes of a body on the wire. */
function encode(body: MessageBody): Uint8Array {
  return encodeEnvelope({ id: 0, reply: false, from: '', body });
}

/** Body of the bytes, decoded where it arrives. */
function decode(bytes: Uint8Array): MessageBody {
  return decodeEnvelope(bytes).body;
}

/** As long as the real messenger waits for a connection by default, in milliseconds. */
const DEFAULT_CONNECT_TIMEOUT_MS = 1000;

/** Messenger of one simulated process. */
export class VirtualMessenger implements Messenger {
  /** Addresses to which a connection is open. */
  private readonly connected = new Set<string>();

  constructor(
    private readonly network: VirtualNetwork,
    private readonly addresses: AddressBook,
    private readonly process: VirtualProcess,
    private readonly address: string,
    /** A connection that is not open by then is given up, in milliseconds. */
    private readonly connectTimeoutMs = DEFAULT_CONNECT_TIMEOUT_MS,
  ) {}

  serve(handler: RequestHandler): void {
    this.addresses.register(this.address, { process: this.process, handler });
  }

  request(address: string, body: MessageBody, timeoutMs: number): Promise<MessageBody> {
    const bytes = encode(body);
    return new Promise((resolve, reject) => {
      const { clock } = this.process;
      const fail = (reason: string, sent = true): void => {
        this.connected.delete(address);
        reject(new PeerUnreachableError(`${address}: ${reason}`, { sent }));
      };
      const timer = clock.setTimer(timeoutMs, () => fail('no answer in time'));
      const connectTimer = clock.setTimer(this.connectTimeoutMs, () => {
        if (this.connected.has(address)) return;
        timer.cancel();
        fail('not connected in time');
      });
      const host = hostOf(address);
      this.network.noteTraffic(this.process.host, host, bytes.length);
      this.carry(this.process.host, host, () => {
        const listener = this.addresses.find(address);
        if (!listener) {
          this.answer(host, () => {
            timer.cancel();
            connectTimer.cancel();
            fail('connection refused', false);
          });
          return;
        }
        this.noteConnected(address, listener.process);
        listener.process.deliver(() =>
          this.handle(listener, decode(bytes), (reply) => {
            timer.cancel();
            connectTimer.cancel();
            resolve(reply);
          }),
        );
      });
    });
  }

  /** The system of a host accepts connections, also while the process is frozen. */
  private noteConnected(address: string, peer: VirtualProcess): void {
    const isReachable = !this.network.isCut(peer.host, this.process.host);
    if (isReachable) this.connected.add(address);
  }

  private handle(
    listener: Listener,
    body: MessageBody,
    resolve: (reply: MessageBody) => void,
  ): void {
    listener.handler(body, this.address).then(
      (reply) => {
        // A process that ended or froze meanwhile answers never or later.
        listener.process.deliver(() => {
          const bytes = encode(reply);
          this.network.noteTraffic(listener.process.host, this.process.host, bytes.length);
          this.answer(listener.process.host, () => resolve(decode(bytes)));
        });
      },
      () => undefined,
    );
  }

  private answer(from: string, callback: () => void): void {
    this.carry(from, this.process.host, () => this.process.deliver(callback));
  }

  /** Carries something from host to host, or loses it to a cut. */
  private carry(from: string, to: string, callback: () => void): void {
    const { network } = this;
    if (network.isCut(from, to)) return;
    network.scheduler.schedule(network.delay(from, to), () => {
      if (!network.isCut(from, to)) callback();
    });
  }
}

/** A caller's link through the product's own connection, which tells the judge when a planned stop of the proxy cuts it off. */
import type { CallerMessage } from '../../src/appointed/sessions/caller_channel.js';
import {
  type CallerReply,
  errorReply,
  successReply,
} from '../../src/appointed/sessions/caller_reply.js';
import { CALLERS_HOST } from '../simulation/virtual_network.js';
import { StreamEnd } from '../simulation/virtual_stream.js';
import type { SimulatedRouter } from './appointed_nodes.js';
import type { AppointedWorld } from './appointed_world.js';
import { ANSWER_TIMEOUT_MS, type CallerLink, type CallerRequest } from './caller_link.js';
import type { SimulatedListener } from './simulated_listener.js';
import type { ProxyMessage } from './virtual_caller_channel.js';

/** Time after which a caller gives a START up, in milliseconds. */
const START_TIMEOUT_MS = 2000;

/** A message that waits for its answer. */
interface PendingMessage {
  readonly id: string;
  readonly settle: (reply: CallerReply | undefined) => void;
  /** Whether the process of the proxy has read it. */
  wasRead: boolean;
  /** Beginning of an answer that is not whole. */
  error?: { readonly errorKind: NonNullable<CallerReply['error']>['kind']; readonly text: string };
}

/** One connection of a caller. */
export class ConnectedLink implements CallerLink {
  private readonly near: StreamEnd;
  private pending: PendingMessage | undefined;
  private hasStarted = false;

  private constructor(
    private readonly world: AppointedWorld,
    private readonly listener: SimulatedListener,
    private readonly proxy: string,
  ) {
    this.near = new StreamEnd(world.network, world.outside);
    this.near.onMessage = (message) => this.receive(message as ProxyMessage);
    this.near.onClosed = () => this.loseAnswer();
  }

  /** Connects to a proxy and starts a session; undefined when the proxy refuses or gives no answer. */
  static async open(
    world: AppointedWorld,
    router: SimulatedRouter,
    name: string,
    start: { readonly database: string; readonly credential: string | undefined },
  ): Promise<ConnectedLink | undefined> {
    const { scheduler, network } = world;
    const passingMs = network.delay(CALLERS_HOST, router.host);
    await new Promise<void>((resolve) => void scheduler.schedule(passingMs, resolve));
    const { running } = router;
    if (!running) return undefined;
    const { listener, process } = running;
    const link = new ConnectedLink(world, listener, router.name);
    const far = new StreamEnd(network, process);
    StreamEnd.join(network, link.near, far);
    process.deliver(() => listener.accept(far, () => link.noteRead()));
    const { database, credential = '' } = start;
    const message = { kind: 'start', database, credential } as const;
    const reply = await link.exchange(`START of ${name}`, message, START_TIMEOUT_MS);
    link.hasStarted = true;
    if (reply && !reply.error) return link;
    link.close();
    return undefined;
  }

  send({ id, statement }: CallerRequest): Promise<CallerReply | undefined> {
    return this.exchange(id, { kind: 'query', id, statement }, ANSWER_TIMEOUT_MS);
  }

  close(): void {
    this.near.close();
  }

  private exchange(
    id: string,
    message: CallerMessage,
    timeoutMs: number,
  ): Promise<CallerReply | undefined> {
    if (!this.near.open) return Promise.resolve(undefined);
    return new Promise((resolve) => {
      const timer = this.world.outside.clock.setTimer(timeoutMs, () => {
        this.settle(undefined);
        this.near.close();
      });
      const settle = (reply: CallerReply | undefined): void => {
        timer.cancel();
        resolve(reply);
      };
      this.pending = { id, settle, wasRead: false };
      this.near.send(message);
    });
  }

  private noteRead(): void {
    if (this.pending) this.pending.wasRead = true;
  }

  private receive(message: ProxyMessage): void {
    switch (message.kind) {
      case 'reply':
        this.settle(message.reply);
        return;
      case 'ready':
        this.settleReady(message.state);
        return;
      case 'error':
        this.takeError(message);
        return;
      case 'end':
        this.near.close();
    }
  }

  private settleReady(state: CallerReply['state']): void {
    const error = this.pending?.error;
    const { errorKind, text } = error ?? {};
    const reply = errorKind ? errorReply(errorKind, text ?? '', state) : successReply(state);
    this.settle(reply);
  }

  /** A START is answered by an error alone, a statement not before READY; without either the error announces a close. */
  private takeError(error: NonNullable<PendingMessage['error']>): void {
    if (!this.pending) this.near.close();
    else if (this.hasStarted) this.pending.error = error;
    else this.settle(errorReply(error.errorKind, error.text, 'idle'));
  }

  /** The connection has ended. */
  private loseAnswer(): void {
    const { pending, listener } = this;
    if (pending?.wasRead && listener.endsAsPlanned) {
      this.world.judge.onCutOff(`${pending.id} at ${this.proxy}`);
    }
    this.settle(undefined);
  }

  private settle(reply: CallerReply | undefined): void {
    const { pending, world, listener } = this;
    const isSuccess = reply && !reply.error;
    if (isSuccess && this.hasStarted && listener.isStopping) world.judge.onServedWhileStopping();
    this.pending = undefined;
    pending?.settle(reply);
  }
}

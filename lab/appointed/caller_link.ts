/** Links of callers to proxies: the caller's side of one session, without or with a simulated connection of the product. */
import type { CallerStatement } from '../../src/appointed/instance/statement.js';
import type { CallerReply } from '../../src/appointed/sessions/caller_reply.js';
import type { RoutedSession } from '../../src/appointed/sessions/routed_session.js';
import { StreamEnd } from '../simulation/virtual_stream.js';
import type { AppointedWorld } from './appointed_world.js';

/** A statement of a caller. */
export interface CallerRequest {
  readonly id: string;
  readonly statement: CallerStatement;
}

/** The caller's side of a session. */
export interface CallerLink {
  /** Sends a statement; undefined when no whole answer came. */
  send(request: CallerRequest): Promise<CallerReply | undefined>;
  close(): void;
}

/** Time after which a caller gives an answer up and closes, in milliseconds. */
export const ANSWER_TIMEOUT_MS = 3000;

/** A session that is opened at once and ends with its stream: it knows nothing of the product's connections of callers. */
export class SessionLink implements CallerLink {
  private readonly near: StreamEnd;
  private pending: ((reply: CallerReply | undefined) => void) | undefined;

  private constructor(private readonly world: AppointedWorld) {
    this.near = new StreamEnd(world.network, world.outside);
    this.near.onMessage = (message) => this.settle(message as CallerReply);
    this.near.onClosed = () => this.settle(undefined);
  }

  /** Connects to a proxy; undefined when it can't serve. */
  static open(
    world: AppointedWorld,
    router: number,
    database: string,
    credential: string | undefined,
  ): SessionLink | undefined {
    const running = world.routers[router]?.running;
    const session = running?.core.openSession(database, credential);
    if (!running || !session) return undefined;
    const link = new SessionLink(world);
    const far = new StreamEnd(world.network, running.process);
    StreamEnd.join(world.network, link.near, far);
    serve(far, session);
    return link;
  }

  send(request: CallerRequest): Promise<CallerReply | undefined> {
    return new Promise((resolve) => {
      const timer = this.world.outside.clock.setTimer(ANSWER_TIMEOUT_MS, () => {
        this.settle(undefined);
        this.near.close();
      });
      this.pending = (reply) => {
        timer.cancel();
        resolve(reply);
      };
      if (this.near.open) this.near.send(request);
      else this.settle(undefined);
    });
  }

  close(): void {
    this.near.close();
  }

  private settle(reply: CallerReply | undefined): void {
    const { pending } = this;
    this.pending = undefined;
    pending?.(reply);
  }
}

function serve(end: StreamEnd, session: RoutedSession): void {
  end.onClosed = () => session.close();
  end.onMessage = (message) => {
    const { id, statement } = message as CallerRequest;
    void session.execute(id, statement).then((reply) => end.send(reply));
  };
}

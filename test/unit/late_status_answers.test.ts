/** Guards against a status that control takes for the answer to a later command, and against a fence that was not confirmed. */
import t from 'tap';
import { InstanceAdministrator } from '../../src/appointed/failover/instance_administrator.js';
import { ReplicaFence } from '../../src/appointed/failover/replica_fence.js';
import type {
  InstanceChannel,
  InstanceMessage,
} from '../../src/appointed/instance/instance_channel.js';
import type {
  InstanceAnswer,
  InstanceConnection,
  InstanceStatus,
} from '../../src/appointed/instance/instance_connection.js';
import { MatchedConnection } from '../../src/appointed/instance/matched_connection.js';
import type { InstanceCommand } from '../../src/appointed/instance/statement.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import { RealClock } from '../../src/runtime/real_clock.js';

const REPLICA = { id: 'i-2', group: 'g', address: 'i-2:1' };
const OLD_TERM = 3;
const NEW_TERM = 4;

/** Answer to an administrative command of a replica that holds `fencedTerm`. */
function statusAnswer(fencedTerm: number, sequence: number): InstanceAnswer {
  const received = { term: OLD_TERM, sequence };
  const status: InstanceStatus = {
    role: 'replica',
    term: OLD_TERM,
    received,
    fencedTerm,
    lagMs: 0,
  };
  const rows = [`replica ${OLD_TERM} ${OLD_TERM}.${sequence} ${fencedTerm} 0`];
  return { rows, signature: '-', state: 'idle', position: received, status };
}

/** Replica that sends its answer to STATUS once more, right before its answer to PAUSE. */
class StutteringReplica implements InstanceChannel {
  onMessage: (message: InstanceMessage) => void = () => undefined;
  onClosed: (reason: string) => void = () => undefined;
  closed = false;
  readonly isReceiving = false;

  sendStart(): void {
    this.onMessage({ kind: 'greeting', position: undefined });
  }

  send({ kind }: InstanceCommand): void {
    if (kind === 'status') this.answerSoon(statusAnswer(0, 7));
    if (kind === 'pause') this.answerSoon(statusAnswer(0, 7), statusAnswer(NEW_TERM, 9));
  }

  close(): void {
    this.closed = true;
  }

  private answerSoon(...answers: readonly InstanceAnswer[]): void {
    setImmediate(() => {
      for (const answer of answers) this.onMessage({ kind: 'answer', answer });
    });
  }
}

function connectionTo(channel: InstanceChannel): InstanceConnection {
  return new MatchedConnection(channel, new RealClock(), () => undefined);
}

/** Connection on which each command is answered alike. */
function connectionWith(answer: InstanceAnswer): InstanceConnection {
  const run = (): Promise<InstanceAnswer> => Promise.resolve(answer);
  return { run, close: () => undefined, closed: false, onClosed: undefined };
}

function administratorWith(
  persistent: InstanceConnection,
  fresh: InstanceConnection,
): InstanceAdministrator {
  const connector = { connect: () => Promise.resolve({ connection: fresh }) };
  const kept = {
    of: () => (persistent.closed ? undefined : { connection: persistent, openedAt: 0 }),
  };
  return new InstanceAdministrator(connector, kept, () => true);
}

void t.test('a late copy of a status is not the answer to a pause', async (t) => {
  const persistent = connectionTo(new StutteringReplica());
  const administrator = administratorWith(persistent, connectionWith(statusAnswer(NEW_TERM, 9)));
  t.match(await administrator.status(REPLICA), { fencedTerm: 0, connectedSince: 0 });
  const paused = await administrator.pause(REPLICA, NEW_TERM, () => true);
  t.match(paused, { fencedTerm: NEW_TERM, received: { sequence: 9 } });
  t.ok(persistent.closed, 'the connection that is out of step is not used again');
});

void t.test('a replica that does not hold the term asked for is not fenced', async (t) => {
  const instance = { ...REPLICA, state: whinyoke.InstanceState.READY };
  const fencedBy = async (fencedTerm: number): Promise<boolean> => {
    const connection = connectionWith(statusAnswer(fencedTerm, 7));
    const administrator = administratorWith(connection, connection);
    const fence = new ReplicaFence(new RealClock(), administrator, OLD_TERM, () => true);
    await fence.fenceAll([instance], NEW_TERM);
    return fence.fencedSince(instance) !== undefined;
  };
  t.equal(await fencedBy(OLD_TERM), false);
  t.equal(await fencedBy(NEW_TERM), true);
});

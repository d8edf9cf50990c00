/**
 * Guards against a resume command of an earlier change of primary that lifts the fence of a later one, and against commands
 * of a machine that does not lead any more.
 */
import t from 'tap';
import { InstanceAdministrator } from '../../src/appointed/failover/instance_administrator.js';
import type {
  InstanceAnswer,
  InstanceConnection,
  InstanceConnector,
} from '../../src/appointed/instance/instance_connection.js';

const REPLICA = { id: 'i-2', group: 'g', address: 'i-2:1' };
const STATUS = {
  role: 'replica',
  term: 3,
  received: { term: 3, sequence: 5 },
  fencedTerm: 0,
  lagMs: 0,
} as const;
const ANSWER: InstanceAnswer = { rows: [], signature: '-', state: 'idle', status: STATUS };

/** A replica with a persistent connection; `answer` is the answer to the first command on it. */
function replica(answer: Promise<InstanceAnswer>): {
  sent: string[];
  administrator: InstanceAdministrator;
} {
  const sent: string[] = [];
  const connection = (isPersistent: boolean): InstanceConnection => ({
    run: ({ kind }) => {
      sent.push(kind);
      return isPersistent && sent.length === 1 ? answer : Promise.resolve(ANSWER);
    },
    close: () => undefined,
    closed: false,
    onClosed: undefined,
  });
  const connector: InstanceConnector = {
    connect: () => Promise.resolve({ connection: connection(false) }),
  };
  const persistent = { of: () => ({ connection: connection(true), openedAt: 0 }) };
  return { sent, administrator: new InstanceAdministrator(connector, persistent, () => true) };
}

void t.test('an unanswered resume is not sent again after a later change has begun', async (t) => {
  let isStillNeeded = true;
  let rejectAnswer: (reason: Error) => void = () => undefined;
  const answer = new Promise<InstanceAnswer>((_resolve, reject) => {
    rejectAnswer = reject;
  });
  const { sent, administrator } = replica(answer);
  const released = administrator.resume(REPLICA, () => isStillNeeded);
  isStillNeeded = false;
  rejectAnswer(new Error('no answer in time'));
  t.equal(await released, undefined);
  t.same(sent, ['resume'], 'not sent on a second connection');
});

void t.test('a replica is paused only after a resume in flight has ended', async (t) => {
  let resolveAnswer: (answer: InstanceAnswer) => void = () => undefined;
  const answer = new Promise<InstanceAnswer>((resolve) => {
    resolveAnswer = resolve;
  });
  const { sent, administrator } = replica(answer);
  const released = administrator.resume(REPLICA, () => true);
  const paused = administrator.pause(REPLICA, 5, () => true);
  await new Promise(setImmediate);
  t.same(sent, ['resume'], 'a resume that arrived after the pause would lift the fence');
  resolveAnswer(ANSWER);
  await Promise.all([released, paused]);
  t.same(sent, ['resume', 'pause']);
});

/** An instance without a persistent connection, and a machine whose authority ends while a connection is opened. */
class LosingLeader {
  readonly sent: string[] = [];
  holdsLeaderLease = true;
  isChangeCurrent = true;
  readonly isStillNeeded = (): boolean => this.isChangeCurrent;
  private accept: () => void = () => undefined;
  readonly administrator = new InstanceAdministrator(
    { connect: () => this.connect() },
    { of: () => undefined },
    () => this.holdsLeaderLease,
  );

  /** Opens the connection that the administrator waits for. */
  openConnection(): void {
    this.accept();
  }

  private async connect(): Promise<{ connection: InstanceConnection }> {
    await new Promise<void>((resolve) => (this.accept = resolve));
    const run = ({ kind }: { kind: string }): Promise<InstanceAnswer> => {
      this.sent.push(kind);
      return Promise.resolve(ANSWER);
    };
    return { connection: { run, close: () => undefined, closed: false, onClosed: undefined } };
  }
}

const COMMANDS = {
  pause: ({ administrator, isStillNeeded }: LosingLeader) =>
    administrator.pause(REPLICA, 5, isStillNeeded),
  resume: ({ administrator, isStillNeeded }: LosingLeader) =>
    administrator.resume(REPLICA, isStillNeeded),
  stepDown: ({ administrator, isStillNeeded }: LosingLeader) =>
    administrator.stepDown(REPLICA, 5, isStillNeeded),
};

for (const [kind, send] of Object.entries(COMMANDS)) {
  void t.test(`${kind} is not sent after the authority for it has ended`, async (t) => {
    const leader = new LosingLeader();
    for (const [end, expected] of [
      [() => undefined, [kind]],
      [() => (leader.holdsLeaderLease = false), [kind]],
      [() => ((leader.holdsLeaderLease = true), (leader.isChangeCurrent = false)), [kind]],
    ] as const) {
      const answered = send(leader);
      await new Promise(setImmediate);
      end();
      leader.openConnection();
      await answered;
      t.same(leader.sent, expected);
    }
  });
}

void t.test(
  'a pause is not sent if the leader lease ended while a resume was in flight',
  async (t) => {
    let resolveAnswer: (answer: InstanceAnswer) => void = () => undefined;
    const sent: string[] = [];
    const run = ({ kind }: { kind: string }): Promise<InstanceAnswer> => {
      sent.push(kind);
      return new Promise((resolve) => (resolveAnswer = resolve));
    };
    const connection = { run, close: () => undefined, closed: false, onClosed: undefined };
    let holdsLeaderLease = true;
    const administrator = new InstanceAdministrator(
      { connect: () => Promise.resolve({ connection }) },
      { of: () => ({ connection, openedAt: 0 }) },
      () => holdsLeaderLease,
    );
    const released = administrator.resume(REPLICA, () => true);
    const paused = administrator.pause(REPLICA, 5, () => true);
    holdsLeaderLease = false;
    resolveAnswer(ANSWER);
    await Promise.all([released, paused]);
    t.same(sent, ['resume']);
  },
);

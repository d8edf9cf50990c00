/**
 * Model check of the matching of answers with commands: all short sequences of commands, refusals and copies of answers, against a
 * model of an instance whose log does not move. Guards against an answer that is taken for that of another command.
 */
import t, { type Test } from 'tap';
import type {
  InstanceAnswer,
  InstanceErrorKind,
  TransactionState,
} from '../../src/appointed/instance/instance_connection.js';
import type { InstanceCommand } from '../../src/appointed/instance/statement.js';
import { type Choose, forEachChoice } from '../tools/choices.js';
import { type Fate, ModelInstance } from '../tools/model_instance.js';

const SHAPE = { access: 'read', shape: 'k' } as const;
const SET: InstanceCommand = { kind: 'set', name: 'a', value: '1' };
const PREPARE: InstanceCommand = { kind: 'prepare', prepared: SHAPE };
const EXECUTE: InstanceCommand = {
  kind: 'data',
  id: '1',
  statement: { kind: 'execute', prepared: SHAPE, argument: 'k' },
};
const WRITE: InstanceCommand = {
  kind: 'data',
  id: '3',
  statement: { kind: 'write', argument: 'k v' },
};
const BEGIN: InstanceCommand = { kind: 'begin', readOnly: false };
const COMMIT: InstanceCommand = { kind: 'commit', id: '4' };
const ROLLBACK: InstanceCommand = { kind: 'rollback', id: '-' };

/** Commands that a proxy sends together, by the state of the connection. */
const BATCHES: Readonly<Record<TransactionState, readonly (readonly InstanceCommand[])[]>> = {
  idle: [[SET], [PREPARE, EXECUTE], [WRITE], [BEGIN]],
  open: [[SET], [PREPARE, EXECUTE], [WRITE], [COMMIT], [ROLLBACK]],
  failed: [[ROLLBACK]],
};
/** Number of violations that a failed check shows. */
const EXAMPLES = 10;
const REFUSALS: readonly InstanceErrorKind[] = ['busy', 'readOnly'];
/** Commands with one refusal only: another one tells nothing more of them. */
const REFUSED_AS_BUSY: ReadonlySet<string> = new Set(['set', 'prepare', 'commit', 'rollback']);
/** A proxy closes the connection when one of these is refused, so that its refusal promises nothing. */
const LOADING: ReadonlySet<string> = new Set(['set', 'prepare']);

interface Bounds {
  readonly commands: number;
  readonly copies: number;
}

/** One run: a proxy that sends commands, and an instance that answers them. */
class Run {
  readonly trace: string[] = [];
  private readonly instance = new ModelInstance();
  private copiesLeft: number;

  constructor(
    private readonly choose: Choose,
    private readonly bounds: Bounds,
  ) {
    this.copiesLeft = bounds.copies;
  }

  /** Returns what went wrong first; undefined if nothing did. */
  async play(): Promise<string | undefined> {
    let commandsLeft = this.bounds.commands;
    let state: TransactionState = 'idle';
    while (commandsLeft > 0) {
      const batches = BATCHES[state].filter(({ length }) => length <= commandsLeft);
      if (batches.length === 0) return undefined;
      const batch = batches[this.choose(batches.length)]!;
      commandsLeft -= batch.length;
      const sent = batch.map((command) => this.instance.run(command));
      const fates = new Set(sent.map(({ fate }) => fate));
      this.answerAll(fates);
      const results = await Promise.all(sent.map(({ result }) => result.catch(() => undefined)));
      const problem = sent
        .map(({ fate }, index) => problemOf(fate, results[index]))
        .find((found) => found !== undefined);
      if (problem !== undefined) return `${problem}, sent while ${state}`;
      const next = this.stateAfter(batch, results);
      if (next === undefined) return undefined;
      state = next;
    }
    return undefined;
  }

  /** Answers all that was sent, checks included, each after any number of copies of earlier answers. */
  private answerAll(fates: ReadonlySet<Fate>): void {
    const { instance } = this;
    for (let next = instance.queue[0]; next; next = instance.queue[0]) {
      this.insertCopies();
      // The checks of the proxy are not refused.
      const isFree = fates.has(next) && !instance.closed;
      const refusal = isFree ? this.chooseRefusal(next.command) : undefined;
      this.trace.push(`${next.command.kind}${refusal ? `:${refusal}` : ''}`);
      instance.answerNext(refusal);
    }
  }

  private chooseRefusal({ kind }: InstanceCommand): InstanceErrorKind | undefined {
    const count = REFUSED_AS_BUSY.has(kind) ? 1 : REFUSALS.length;
    return REFUSALS[this.choose(count + 1) - 1];
  }

  private insertCopies(): void {
    const { answers, closed } = this.instance;
    while (this.copiesLeft > 0 && !closed) {
      const chosen = this.choose(answers.length + 1);
      if (chosen === 0) return;
      this.copiesLeft--;
      const copy = answers[chosen - 1]!;
      this.trace.push(`copy(${copy.error?.kind ?? copy.signature} ${copy.state})`);
      this.instance.deliver(copy);
    }
  }

  /** State that the proxy knows; undefined if it uses the connection no more. */
  private stateAfter(
    batch: readonly InstanceCommand[],
    results: readonly (InstanceAnswer | undefined)[],
  ): TransactionState | undefined {
    const isLoadFailed = batch.some(
      ({ kind }, index) => LOADING.has(kind) && results[index]?.error,
    );
    return isLoadFailed || this.instance.closed ? undefined : results.at(-1)?.state;
  }
}

/** How a result contradicts what the instance did; undefined if it does not, or promises nothing. */
function problemOf(
  { command, hasRun, signature }: Fate,
  result: InstanceAnswer | undefined,
): string | undefined {
  if (!result) return undefined;
  const { kind } = command;
  if (result.error) {
    return hasRun && !LOADING.has(kind) ? `${kind} ran and is told as refused` : undefined;
  }
  if (!hasRun) return `${kind} did not run and is told as a success`;
  const own = signature ?? '-';
  return result.signature === own ? undefined : `${kind} has the signature of another command`;
}

async function check(bounds: Bounds): Promise<{ runs: number; problems: string[] }> {
  const problems: string[] = [];
  const runs = await forEachChoice(async (choose) => {
    const run = new Run(choose, bounds);
    const problem = await run.play();
    if (problem !== undefined) problems.push(`${problem}: ${run.trace.join(' ')}`);
  });
  return { runs, problems };
}

/** Fails with the shortest examples. */
function expectNone(t: Test, runs: number, problems: string[]): void {
  const examples = [...problems].sort((a, b) => a.length - b.length).slice(0, EXAMPLES);
  t.equal(problems.length, 0, `${runs} runs; ${examples.join('; ')}`);
}

void t.test('one copy of an answer is not taken for the answer to another command', async (t) => {
  const { runs, problems } = await check({ commands: 4, copies: 1 });
  expectNone(t, runs, problems);
});

void t.test('two copies are not taken for the answer to a statement of its own', async (t) => {
  const { runs, problems } = await check({ commands: 3, copies: 2 });
  const isOfStatement = (problem: string): boolean =>
    /^(data|set|prepare)/.test(problem) && problem.includes('sent while idle');
  expectNone(t, runs, problems.filter(isOfStatement));
});

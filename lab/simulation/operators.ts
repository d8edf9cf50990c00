/** Simulated operators: they race each other, work on old revisions and resend after lost answers. */
import { OperatorClient } from '../../src/cli/operator_client.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import { type RandomSource, delay } from '../../src/runtime/runtime.js';
import { type GroupOptions, configurationFor } from '../fleet/layout.js';
import type { World } from './world.js';

const { SubmissionKind, SubmissionOutcome } = whinyoke;

const PAUSE_MS = 1500;
const PATIENCE_MS = 4000;

/** Submits the first configuration; resolves with its revision, 0 when it was not accepted. */
export async function submitFirst(world: World, options: GroupOptions): Promise<number> {
  const client = clientOf(world);
  const submission = {
    submissionId: 'first',
    kind: SubmissionKind.APPLY,
    name: world.options.deployment.name,
    document: configurationFor(world.layout, options),
    operator: 'setup',
  };
  const { reply } = await client.submit(submission, 10_000);
  record(world, 'first', reply);
  return reply.revision ?? 0;
}

function clientOf(world: World): OperatorClient {
  const addresses = world.layout.controls.map((control) => control.internal);
  return new OperatorClient(addresses, world.operatorMessenger(), world.outside.clock);
}

function outcomeOf(reply: whinyoke.ISubmitReply): 'accepted' | 'refused' | 'unknown' {
  if ((reply.outcome ?? 0) === SubmissionOutcome.ACCEPTED) return 'accepted';
  return reply.verdict === whinyoke.Verdict.MAY_HAVE_RUN ? 'unknown' : 'refused';
}

function record(world: World, submission: string, reply: whinyoke.ISubmitReply): void {
  world.history.add({
    type: 'submission',
    at: world.scheduler.now,
    submission,
    outcome: outcomeOf(reply),
    revision: reply.revision ?? 0,
  });
}

/** One operator. */
export class SimulatedOperator {
  private readonly client: OperatorClient;
  private stopped = false;
  private nextSubmission = 1;
  private knownRevision = 0;

  constructor(
    private readonly world: World,
    private readonly name: string,
    private readonly random: RandomSource,
    private readonly gateways: number,
  ) {
    this.client = clientOf(world);
  }

  /** Submits again and again until `stop`. */
  async run(): Promise<void> {
    const { clock } = this.world.outside;
    while (!this.stopped) {
      await delay(clock, this.random.next() * PAUSE_MS);
      if (!this.stopped) await this.submitOne();
    }
  }

  /** Ends after the submission under way. */
  stop(): void {
    this.stopped = true;
  }

  private async submitOne(): Promise<void> {
    const submissionId = `${this.name}-${this.nextSubmission++}`;
    const isRestructuring = this.random.next() < 0.1;
    const gateways = isRestructuring ? this.random.integer(1, 3) : this.gateways;
    const hasBaseRevision = this.random.next() < 0.5;
    const submission: whinyoke.ISubmitRequest = {
      submissionId,
      kind: SubmissionKind.APPLY,
      name: this.world.options.deployment.name,
      document: configurationFor(this.world.layout, {
        gateways,
        reads: { wait_ms: this.random.integer(20, 150) },
      }),
      operator: this.name,
      hasBaseRevision,
      baseRevision: this.knownRevision,
    };
    const { reply } = await this.client.submit(submission, PATIENCE_MS);
    this.knownRevision = Math.max(this.knownRevision, reply.revision ?? 0);
    record(this.world, submissionId, reply);
    // Many operators send a submission again though it has its outcome.
    if (this.random.next() < 0.3) {
      const again = await this.client.submit(submission, PATIENCE_MS);
      if (outcomeOf(again.reply) !== 'unknown') record(this.world, submissionId, again.reply);
    }
  }
}

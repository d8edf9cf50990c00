/**
 * Handles operators' submissions: checks, proposes, and answers with a truthful verdict.
 *
 * Owns parsed documents, as a cache. Relies on a majority: without one a submission is `not_run`; when the leadership ends while
 * one is under way, it is `may_have_run`, and sending it again settles it.
 */
import {
  type ConfigurationDocument,
  conflictBetween,
  readConfiguration,
} from '../configuration/configuration.js';
import { LeadershipLostError, NotLeaderError } from '../../consensus/raft_errors.js';
import type { RaftNode } from '../../consensus/raft_node.js';
import { messageOf } from '../../errors/errors.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import type { ConfigurationStore } from './configuration_store.js';

const { SubmissionKind, SubmissionOutcome, Verdict } = whinyoke;

/** Checks of one submission against documents that change meanwhile, before it is refused. A guess, not measured. */
const MAXIMUM_CHECKS = 20;
/** When an operator's client may send again without a majority, in milliseconds: about an election. A guess, not measured. */
const NO_QUORUM_RETRY_AFTER_MS = 500;

/** Submissions at one control machine. */
export class SubmissionService {
  private readonly parsed = new Map<string, ConfigurationDocument>();

  constructor(
    private readonly node: RaftNode,
    private readonly store: ConfigurationStore,
  ) {}

  /** Answers one submission. */
  async submit(submission: whinyoke.ISubmitRequest): Promise<whinyoke.ISubmitReply> {
    if (this.node.role !== 'leader') return this.notLeader();
    const first = this.store.outcomeOf(submission.submissionId ?? '');
    if (first && this.node.hasQuorum) return first;
    for (let attempt = 0; attempt < MAXIMUM_CHECKS; attempt++) {
      const problem = this.problemOf(submission);
      if (problem !== undefined) return this.invalid(problem);
      const reply = await this.propose(submission, this.store.revision);
      if (reply.outcome !== SubmissionOutcome.RECHECK) return reply;
    }
    return this.refusal('too many changes at once', Verdict.NOT_RUN);
  }

  private async propose(
    submission: whinyoke.ISubmitRequest,
    checkedRevision: number,
  ): Promise<whinyoke.ISubmitReply> {
    const command = whinyoke.StoreCommand.encode({ submission, checkedRevision }).finish();
    try {
      return whinyoke.SubmitReply.decode(await this.node.propose(command));
    } catch (error) {
      if (error instanceof NotLeaderError) return this.notLeader();
      if (error instanceof LeadershipLostError) {
        return this.refusal(messageOf(error), Verdict.MAY_HAVE_RUN);
      }
      throw error;
    }
  }

  /** What is wrong with a submission, against the documents in force now. */
  private problemOf(submission: whinyoke.ISubmitRequest): string | undefined {
    const name = submission.name ?? '';
    if (submission.kind === SubmissionKind.WITHDRAW) {
      const isKnown = this.store.inForce.some((document) => document.name === name);
      return isKnown ? undefined : `no document '${name}' is in force`;
    }
    try {
      const document = readConfiguration(submission.document ?? '', name);
      if (document.name !== name) return `the document calls itself '${document.name}'`;
      const others = this.store.inForce.filter((other) => other.name !== name);
      return conflictBetween([document, ...others.map((other) => this.parse(other))]);
    } catch (error) {
      return messageOf(error);
    }
  }

  private parse(document: whinyoke.IConfigurationDocument): ConfigurationDocument {
    const key = `${document.name}\n${document.revision}`;
    let parsed = this.parsed.get(key);
    if (!parsed) {
      parsed = readConfiguration(document.document ?? '', document.name ?? '');
      this.parsed.set(key, parsed);
    }
    return parsed;
  }

  private notLeader(): whinyoke.ISubmitReply {
    const leaderAddress = this.node.leaderAddress;
    if (this.node.role !== 'leader' && leaderAddress !== '' && this.node.hasQuorum) {
      return {
        outcome: SubmissionOutcome.NOT_LEADER,
        verdict: Verdict.NOT_RUN,
        leaderAddress,
        detail: 'another control machine leads',
      };
    }
    return this.refusal('no majority of the control machines is in contact', Verdict.NOT_RUN);
  }

  private refusal(detail: string, verdict: whinyoke.Verdict): whinyoke.ISubmitReply {
    const outcome = SubmissionOutcome.NO_QUORUM;
    return { outcome, verdict, detail, retryAfterMs: NO_QUORUM_RETRY_AFTER_MS };
  }

  private invalid(detail: string): whinyoke.ISubmitReply {
    const { revision } = this.store;
    return { outcome: SubmissionOutcome.INVALID, verdict: Verdict.NOT_RUN, detail, revision };
  }
}

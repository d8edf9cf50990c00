/**
 * Questions of the leader itself to primaries that proxies find silent, or whose connection owners they don't reach, and to
 * their replicas: a lost owner, a full queue and silent connections look like a lost primary to proxies.
 *
 * Owns what was answered on the primary of the present epoch of each such group, in memory; a new leader asks anew. Relies
 * on the instances: no answer is evidence too, but not alone, since this machine may be cut off from the primary.
 */
import type { GroupEntry, InstanceEntry } from '../catalog/catalog.js';
import { Events } from '../../observability/events.js';
import { type Position, comparePositions } from '../../positions/position.js';
import type { Presence } from './instance_administrator.js';
import { targetOf } from './instance_target.js';
import type { ChangerContext } from './primary_changer.js';

/** Time for one answer, in milliseconds: more than a trip within a region and a short queue. A guess, not measured. */
const ANSWER_TIMEOUT_MS = 250;
/** Time between the begins of two rounds of questions to one group, in milliseconds. A guess, not measured. */
const ROUND_SPACING_MS = 200;

/** What control itself knows of a primary that is in doubt. */
export interface DirectEvidence {
  /** For how long the first question has been without an answer, in milliseconds; undefined once it is over. */
  readonly pendingMs: number | undefined;
  /** Whether the newest question was answered. */
  readonly isAnswered: boolean;
  /** Newest questions in a row that nobody answered. */
  readonly silentInRow: number;
  /** Whether the replicas received nothing between the two newest rounds, though the primary has, or may have, more. */
  readonly isReplicationStalled: boolean;
}

const NOT_ASKED: DirectEvidence = {
  pendingMs: undefined,
  isAnswered: false,
  silentInRow: 0,
  isReplicationStalled: false,
};

/** Answers of one round. */
interface Round {
  readonly presence: Presence;
  /** Newest position that a replica has received; undefined when none told one. */
  readonly received: Position | undefined;
}

/** Rounds of questions on the primary of one epoch. */
interface Inquiry {
  readonly epoch: number;
  begunAt: number;
  isUnderWay: boolean;
  rounds: number;
  evidence: DirectEvidence;
  newest: Round | undefined;
}

/** Questions of one leader. */
export class DirectQuestions {
  private readonly inquiries = new Map<string, Inquiry>();

  constructor(
    private readonly context: Pick<ChangerContext, 'clock' | 'catalog' | 'administrator' | 'log'>,
  ) {}

  /** Asks a primary that is in doubt, and its replicas, unless that was done a moment ago. */
  ask(entry: GroupEntry): void {
    const inquiry = this.inquiryOn(entry);
    const now = this.context.clock.now();
    if (inquiry.isUnderWay || now - inquiry.begunAt < ROUND_SPACING_MS) return;
    inquiry.isUnderWay = true;
    inquiry.begunAt = now;
    // Questions never reject: an instance without an answer is an answer here.
    void this.runRound(entry, inquiry);
  }

  /** Nobody doubts the primary any more: earlier answers say nothing of a later doubt. */
  forget(entry: GroupEntry): void {
    this.inquiries.delete(entry.group ?? '');
  }

  /** What is known of the primary of the present epoch. */
  evidenceOn(entry: GroupEntry): DirectEvidence {
    const inquiry = this.inquiries.get(entry.group ?? '');
    if (inquiry?.epoch !== entry.epoch || !inquiry) return NOT_ASKED;
    const isPending = inquiry.rounds === 0;
    const pendingMs = isPending ? this.context.clock.now() - inquiry.begunAt : undefined;
    return { ...inquiry.evidence, pendingMs };
  }

  private inquiryOn(entry: GroupEntry): Inquiry {
    const group = entry.group ?? '';
    const epoch = entry.epoch ?? 0;
    const known = this.inquiries.get(group);
    if (known?.epoch === epoch) return known;
    const inquiry: Inquiry = {
      epoch,
      begunAt: -Infinity,
      isUnderWay: false,
      rounds: 0,
      evidence: NOT_ASKED,
      newest: undefined,
    };
    this.inquiries.set(group, inquiry);
    return inquiry;
  }

  private async runRound(entry: GroupEntry, inquiry: Inquiry): Promise<void> {
    const members = this.context.catalog.presentInstances.filter(
      ({ group }) => group === entry.group,
    );
    const primary = members.find(({ id }) => id === entry.primary);
    const replicas = members.filter(({ id }) => id !== entry.primary);
    const [presence, received] = await Promise.all([
      this.presenceOf(primary),
      this.newestReceived(replicas),
    ]);
    inquiry.isUnderWay = false;
    inquiry.rounds++;
    this.take(entry, inquiry, { presence, received });
  }

  private presenceOf(primary: InstanceEntry | undefined): Promise<Presence> {
    if (!primary) return Promise.resolve({ kind: 'refused' });
    return this.context.administrator.presenceOf(targetOf(primary), ANSWER_TIMEOUT_MS);
  }

  private async newestReceived(replicas: readonly InstanceEntry[]): Promise<Position | undefined> {
    const presences = await Promise.all(
      replicas.map((replica) =>
        this.context.administrator.presenceOf(targetOf(replica), ANSWER_TIMEOUT_MS),
      ),
    );
    return presences
      .flatMap((presence) =>
        presence.kind === 'answered' && presence.status ? [presence.status.received] : [],
      )
      .toSorted(comparePositions)
      .at(-1);
  }

  private take(entry: GroupEntry, inquiry: Inquiry, round: Round): void {
    const { presence } = round;
    const isAnswered = presence.kind === 'answered';
    const before = inquiry.evidence;
    inquiry.evidence = {
      pendingMs: undefined,
      isAnswered,
      silentInRow: isAnswered ? 0 : before.silentInRow + 1,
      isReplicationStalled: isAnswered && isStalled(inquiry.newest, round),
    };
    inquiry.newest = round;
    this.context.log(Events.primaryAsked, {
      group: entry.group ?? '',
      epoch: inquiry.epoch,
      primary: entry.primary ?? '',
      round: inquiry.rounds,
      answer: presence.kind,
      replication_stalled: inquiry.evidence.isReplicationStalled,
    });
  }
}

/** Whether replicas received nothing between two rounds, though the primary has more, or is too busy to tell what it has. */
function isStalled(before: Round | undefined, now: Round): boolean {
  if (!before?.received || !now.received) return false;
  const hasAdvanced = comparePositions(now.received, before.received) !== 0;
  if (hasAdvanced || now.presence.kind !== 'answered') return false;
  const { status } = now.presence;
  return status === undefined || comparePositions(status.received, now.received) > 0;
}

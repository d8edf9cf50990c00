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
import type { ProbeResult } from './instance_administrator.js';
import { targetOf } from './instance_target.js';
import type { PrimaryChangerContext } from './primary_changer.js';

/** Time for one answer, in milliseconds: more than a trip within a region and a short queue. A guess, not measured. */
const PROBE_TIMEOUT_MS = 250;
/** Time between the begins of two rounds of questions to one group, in milliseconds. A guess, not measured. */
const PROBE_INTERVAL_MS = 200;

/** What control itself knows of a primary that is in doubt. */
export interface ProbeEvidence {
  /** For how long the first question has been without an answer, in milliseconds; undefined once it is over. */
  readonly firstProbePendingMs: number | undefined;
  /** Whether the newest question was answered. */
  readonly isAnswered: boolean;
  /** Newest questions in a row that nobody answered. */
  readonly consecutiveFailures: number;
  /** Whether the replicas received nothing between the two newest rounds, though the primary has, or may have, more. */
  readonly isReplicationStalled: boolean;
}

const NOT_PROBED: ProbeEvidence = {
  firstProbePendingMs: undefined,
  isAnswered: false,
  consecutiveFailures: 0,
  isReplicationStalled: false,
};

/** Answers of one round. */
interface ProbeRound {
  readonly probeResult: ProbeResult;
  /** Newest position that a replica has received; undefined when none told one. */
  readonly newestReceived: Position | undefined;
}

/** Rounds of questions on the primary of one epoch. */
interface GroupProbes {
  readonly epoch: number;
  startedAt: number;
  isInFlight: boolean;
  completedRounds: number;
  evidence: ProbeEvidence;
  newestRound: ProbeRound | undefined;
}

/** Questions of one leader. */
export class PrimaryProber {
  private readonly probesByGroup = new Map<string, GroupProbes>();

  constructor(
    private readonly context: Pick<
      PrimaryChangerContext,
      'clock' | 'catalog' | 'administrator' | 'log'
    >,
  ) {}

  /** Asks a primary that is in doubt, and its replicas, unless that was done a moment ago. */
  probe(entry: GroupEntry): void {
    const probes = this.probesOf(entry);
    const startedAt = this.context.clock.now();
    if (probes.isInFlight || startedAt - probes.startedAt < PROBE_INTERVAL_MS) return;
    probes.isInFlight = true;
    probes.startedAt = startedAt;
    // Questions never reject: an instance without an answer is an answer here.
    void this.runRound(entry, probes);
  }

  /** Nobody doubts the primary any more: earlier answers say nothing of a later doubt. */
  forget(entry: GroupEntry): void {
    this.probesByGroup.delete(entry.group ?? '');
  }

  /** What is known of the primary of the present epoch. */
  evidenceOn(entry: GroupEntry): ProbeEvidence {
    const probes = this.probesByGroup.get(entry.group ?? '');
    if (probes?.epoch !== entry.epoch || !probes) return NOT_PROBED;
    const isPending = probes.completedRounds === 0;
    const firstProbePendingMs = isPending ? this.context.clock.now() - probes.startedAt : undefined;
    return { ...probes.evidence, firstProbePendingMs };
  }

  private probesOf(entry: GroupEntry): GroupProbes {
    const group = entry.group ?? '';
    const epoch = entry.epoch ?? 0;
    const known = this.probesByGroup.get(group);
    if (known?.epoch === epoch) return known;
    const probes: GroupProbes = {
      epoch,
      startedAt: -Infinity,
      isInFlight: false,
      completedRounds: 0,
      evidence: NOT_PROBED,
      newestRound: undefined,
    };
    this.probesByGroup.set(group, probes);
    return probes;
  }

  private async runRound(entry: GroupEntry, probes: GroupProbes): Promise<void> {
    const members = this.context.catalog.presentInstances.filter(
      ({ group }) => group === entry.group,
    );
    const primary = members.find(({ id }) => id === entry.primary);
    const replicas = members.filter(({ id }) => id !== entry.primary);
    const [probeResult, newestReceived] = await Promise.all([
      this.probePrimary(primary),
      this.probeReplicas(replicas),
    ]);
    probes.isInFlight = false;
    probes.completedRounds++;
    this.recordRound(entry, probes, { probeResult, newestReceived });
  }

  private probePrimary(primary: InstanceEntry | undefined): Promise<ProbeResult> {
    if (!primary) return Promise.resolve({ kind: 'refused' });
    return this.context.administrator.probe(targetOf(primary), PROBE_TIMEOUT_MS);
  }

  private async probeReplicas(replicas: readonly InstanceEntry[]): Promise<Position | undefined> {
    const probeResults = await Promise.all(
      replicas.map((replica) =>
        this.context.administrator.probe(targetOf(replica), PROBE_TIMEOUT_MS),
      ),
    );
    return probeResults
      .flatMap((result) =>
        result.kind === 'answered' && result.status ? [result.status.received] : [],
      )
      .toSorted(comparePositions)
      .at(-1);
  }

  private recordRound(entry: GroupEntry, probes: GroupProbes, round: ProbeRound): void {
    const { probeResult } = round;
    const isAnswered = probeResult.kind === 'answered';
    const before = probes.evidence;
    probes.evidence = {
      firstProbePendingMs: undefined,
      isAnswered,
      consecutiveFailures: isAnswered ? 0 : before.consecutiveFailures + 1,
      isReplicationStalled: isAnswered && hasReplicationStalled(probes.newestRound, round),
    };
    probes.newestRound = round;
    this.context.log(Events.primaryAsked, {
      group: entry.group ?? '',
      epoch: probes.epoch,
      primary: entry.primary ?? '',
      round: probes.completedRounds,
      answer: probeResult.kind,
      replication_stalled: probes.evidence.isReplicationStalled,
    });
  }
}

/** Whether replicas received nothing between two rounds, though the primary has more, or is too busy to tell what it has. */
function hasReplicationStalled(before: ProbeRound | undefined, latest: ProbeRound): boolean {
  if (!before?.newestReceived || !latest.newestReceived) return false;
  const hasAdvanced = comparePositions(latest.newestReceived, before.newestReceived) !== 0;
  if (hasAdvanced || latest.probeResult.kind !== 'answered') return false;
  const { status } = latest.probeResult;
  return status === undefined || comparePositions(status.received, latest.newestReceived) > 0;
}

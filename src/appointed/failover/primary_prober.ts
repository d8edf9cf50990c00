/**
 * Probes primaries that proxies report as silent or whose connection owners they don't reach, and their replicas.
 *
 * To a proxy, a lost connection owner, a full queue and dead connections look like a lost primary; the leader's own probe
 * tells them apart. A missing answer alone proves nothing, since this machine may be cut off from the primary. The results
 * for the current epoch of each group are in this leader's memory; a new leader probes anew.
 */
import type { GroupEntry, InstanceEntry } from '../catalog/catalog.js';
import { Events } from '../../observability/events.js';
import { type Position, comparePositions } from '../../positions/position.js';
import type { ProbeResult } from './instance_administrator.js';
import { targetOf } from './instance_target.js';
import type { PrimaryChangerContext } from './primary_changer.js';

/** Timeout of one probe: more than a round trip within a region and a short queue. */
const PROBE_TIMEOUT_MS = 250;
/** Interval between the starts of two rounds of probes to one group. */
const PROBE_INTERVAL_MS = 200;

/** What control itself found out about a primary in doubt. */
export interface ProbeEvidence {
  /** How long the first probe has been unanswered, in milliseconds; undefined once it is over. */
  readonly firstProbePendingMs: number | undefined;
  /** Whether the newest probe was answered. */
  readonly isAnswered: boolean;
  /** Number of newest probes in a row without an answer. */
  readonly consecutiveFailures: number;
  /** Whether replicas received nothing between the two newest rounds although the primary has, or may have, more. */
  readonly isReplicationStalled: boolean;
}

const NOT_PROBED: ProbeEvidence = {
  firstProbePendingMs: undefined,
  isAnswered: false,
  consecutiveFailures: 0,
  isReplicationStalled: false,
};

/** Results of one round. */
interface ProbeRound {
  readonly probeResult: ProbeResult;
  /** Newest position that a replica has received; undefined when none reported one. */
  readonly newestReceived: Position | undefined;
}

/** Rounds of probes to the primary of one epoch. */
interface GroupProbes {
  readonly epoch: number;
  startedAt: number;
  isInFlight: boolean;
  completedRounds: number;
  evidence: ProbeEvidence;
  newestRound: ProbeRound | undefined;
}

/** Prober of one leader. */
export class PrimaryProber {
  private readonly probesByGroup = new Map<string, GroupProbes>();

  constructor(
    private readonly context: Pick<
      PrimaryChangerContext,
      'clock' | 'catalog' | 'administrator' | 'log'
    >,
  ) {}

  /** Probes a primary in doubt and its replicas, unless a round is in flight or was started recently. */
  probe(entry: GroupEntry): void {
    const probes = this.probesOf(entry);
    const startedAt = this.context.clock.now();
    if (probes.isInFlight || startedAt - probes.startedAt < PROBE_INTERVAL_MS) return;
    probes.isInFlight = true;
    probes.startedAt = startedAt;
    // A probe never rejects: a missing answer is a result.
    void this.runRound(entry, probes);
  }

  /** Removes the results for a group whose primary is no longer in doubt; they say nothing of a later doubt. */
  forget(entry: GroupEntry): void {
    this.probesByGroup.delete(entry.group ?? '');
  }

  /** Evidence on the primary of the current epoch. */
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

/**
 * Whether replicas received nothing between two rounds although the primary has more, or is too busy to report its
 * position.
 */
function hasReplicationStalled(before: ProbeRound | undefined, latest: ProbeRound): boolean {
  if (!before?.newestReceived || !latest.newestReceived) return false;
  const hasAdvanced = comparePositions(latest.newestReceived, before.newestReceived) !== 0;
  if (hasAdvanced || latest.probeResult.kind !== 'answered') return false;
  const { status } = latest.probeResult;
  return status === undefined || comparePositions(status.received, latest.newestReceived) > 0;
}

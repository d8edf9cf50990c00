/**
 * Positions at or after every commit that was acknowledged before a loss of evidence.
 *
 * When a primary is chosen, proxies name what they acknowledged, and replicas what they received. Two kinds of loss leave
 * acknowledged commits that nobody names: an incarnation of a proxy ends, and its record of them; an instance ends, and its
 * log, which may have been the only one with a commit besides the primary's. The primary still holds them, so a position that
 * it reports after the loss is at or after each. Until there is one, what the others name proves nothing.
 *
 * Positions come from the reports of proxies, or from the primary itself where those have none. They are in this leader's
 * memory; a new leader needs them for losses since the epoch began.
 */
import type { Catalog, GroupEntry } from '../catalog/catalog.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import { Events } from '../../observability/events.js';
import type { Position } from '../../positions/position.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import type { Clock, Timer } from '../../runtime/runtime.js';
import { inheritedPositionOf } from './inherited_position.js';
import type { InstanceAdministrator } from './instance_administrator.js';
import { askPrimaryPosition } from './primary_position_request.js';

const { GroupPhase } = whinyoke;

/** Interval of checks. */
const CHECK_INTERVAL_MS = 100;
/** Time for proxies to report a position before the primary is asked, which takes one of its slots. */
const REPORT_WAIT_MS = 200;
/** Time between two requests to the same primary. */
const RETRY_INTERVAL_MS = 500;
/** Primaries that are asked at a time. */
const MAX_CONCURRENT_REQUESTS = 20;

/** Whose loss a watermark accounts for: reports of proxies, or logs of replicas. */
export type EvidenceSource = 'proxies' | 'replicas';

const SOURCES: readonly EvidenceSource[] = ['proxies', 'replicas'];

/** Valid in one epoch, until the next loss. */
interface Watermark {
  readonly steadySince: number;
  readonly lossVersion: number;
  readonly position: Position;
}

/** A loss for which no position is known yet. */
interface PendingLoss {
  readonly steadySince: number;
  readonly lossVersion: number;
  /** When this leader noticed it: a position counts if it was requested later. */
  readonly noticedAt: number;
  requestedAt: number;
  isRequesting: boolean;
}

interface WatermarkContext {
  readonly clock: Clock;
  readonly catalog: Catalog;
  readonly administrator: Pick<InstanceAdministrator, 'status'>;
  /** Position of a primary in an epoch that was requested after a time; undefined if none is known. */
  readonly positionRequestedAfter: (
    group: string,
    epoch: number,
    time: number,
  ) => Position | undefined;
  readonly log: DecisionLog;
  readonly isLeading: () => boolean;
}

/** Watermarks of all groups, as one leader knows them. */
export class CommitWatermarks {
  private readonly watermarks: Record<EvidenceSource, Map<string, Watermark>> = {
    proxies: new Map(),
    replicas: new Map(),
  };
  private readonly pending: Record<EvidenceSource, Map<string, PendingLoss>> = {
    proxies: new Map(),
    replicas: new Map(),
  };
  /** State of the catalog at the newest search for losses. */
  private searchedState = '';
  private requestCount = 0;
  private timer: Timer | undefined;

  constructor(private readonly context: WatermarkContext) {}

  /** Starts the periodic check, which does nothing while this machine does not lead. */
  start(): void {
    this.timer = this.context.clock.setTimer(CHECK_INTERVAL_MS, () => {
      this.checkAll();
      this.start();
    });
  }

  stop(): void {
    this.timer?.cancel();
  }

  /**
   * Position at or after every commit acknowledged before the newest loss of a source; undefined if none is known. Without a
   * loss since the epoch began, it is what that epoch inherited.
   */
  of(entry: GroupEntry, source: EvidenceSource): Position | undefined {
    const lossVersion = this.lossVersion(entry, source);
    const inherited = inheritedPositionOf(entry);
    if (inherited && lossVersion < (entry.steadySince ?? 0)) return inherited;
    const known = this.watermarks[source].get(entry.group ?? '');
    return known && isSameLoss(known, entry, lossVersion) ? known.position : undefined;
  }

  /** Looks for losses, and for positions reported after them. */
  checkAll(): void {
    if (!this.context.isLeading()) return;
    this.findLosses();
    for (const source of SOURCES) {
      for (const [group, loss] of this.pending[source]) this.renew(source, group, loss);
    }
  }

  private lossVersion(entry: GroupEntry, source: EvidenceSource): number {
    const { catalog } = this.context;
    return source === 'proxies'
      ? catalog.proxyLossVersion
      : catalog.replicaLossVersion(entry.group ?? '');
  }

  /** Visits all groups, but only after a change that may be a loss or begin an epoch. */
  private findLosses(): void {
    const { catalog } = this.context;
    const { version, proxyLossVersion, newestReplicaLoss } = catalog;
    const state = `${version}/${proxyLossVersion}/${newestReplicaLoss}`;
    if (state === this.searchedState) return;
    this.searchedState = state;
    for (const entry of catalog.groups) {
      for (const source of SOURCES) this.recordLoss(entry, source);
    }
  }

  private recordLoss(entry: GroupEntry, source: EvidenceSource): void {
    const group = entry.group ?? '';
    const pending = this.pending[source];
    const isRenewable = entry.phase !== GroupPhase.CHANGING;
    if (!isRenewable || this.of(entry, source) !== undefined) {
      pending.delete(group);
      return;
    }
    const lossVersion = this.lossVersion(entry, source);
    const known = pending.get(group);
    if (known && isSameLoss(known, entry, lossVersion)) return;
    const noticedAt = this.context.clock.now();
    const steadySince = entry.steadySince ?? 0;
    const request = { requestedAt: -Infinity, isRequesting: false };
    pending.set(group, { steadySince, lossVersion, noticedAt, ...request });
  }

  private renew(source: EvidenceSource, group: string, loss: PendingLoss): void {
    const { catalog, clock, positionRequestedAfter } = this.context;
    const epoch = catalog.group(group)?.epoch ?? 0;
    const reported = positionRequestedAfter(group, epoch, loss.noticedAt);
    if (reported) {
      this.complete(source, group, loss, reported);
      return;
    }
    const now = clock.now();
    const isDue =
      now - loss.noticedAt >= REPORT_WAIT_MS && now - loss.requestedAt >= RETRY_INTERVAL_MS;
    if (!isDue || loss.isRequesting || this.requestCount >= MAX_CONCURRENT_REQUESTS) return;
    loss.requestedAt = now;
    void this.request(source, group, loss);
  }

  private async request(source: EvidenceSource, group: string, loss: PendingLoss): Promise<void> {
    loss.isRequesting = true;
    this.requestCount++;
    // Never rejects: without an answer there is no position, and the request is repeated.
    const position = await askPrimaryPosition(this.context, group);
    loss.isRequesting = false;
    this.requestCount--;
    if (position) this.complete(source, group, loss, position);
  }

  /** Stores the position for a loss, unless another loss or epoch came in between. */
  private complete(
    source: EvidenceSource,
    group: string,
    loss: PendingLoss,
    position: Position,
  ): void {
    const { pending, watermarks } = this;
    if (pending[source].get(group) !== loss) return;
    pending[source].delete(group);
    const { steadySince, lossVersion, noticedAt } = loss;
    watermarks[source].set(group, { steadySince, lossVersion, position });
    if (pending[source].size > 0) return;
    const afterMs = Math.round(this.context.clock.now() - noticedAt);
    this.context.log(Events.evidenceRenewed, { source, group, after_ms: afterMs });
  }
}

function isSameLoss(
  known: { readonly steadySince: number; readonly lossVersion: number },
  entry: GroupEntry,
  lossVersion: number,
): boolean {
  return known.steadySince === (entry.steadySince ?? 0) && known.lossVersion === lossVersion;
}

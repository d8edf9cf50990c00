/**
 * Newest known positions of the primaries, on the leader. Proxies connected to a primary report its
 * position, and the leader passes it to proxies that read from its replicas without being connected
 * to the primary. If there are no reports, the leader probes the primary itself. If neither works,
 * readers ask their primary themselves. See docs/design/reads-at-scale.md.
 */
import type { Catalog, GroupEntry } from '../catalog/catalog.js';
import { targetOf } from '../failover/instance_target.js';
import { isPrimaryStuck } from '../failover/primary_evacuation.js';
import { isOfLaterIncarnation } from '../leases/epoch_incarnation.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import type { InstanceConnector } from '../instance/instance_connection.js';
import type { Clock } from '../../runtime/runtime.js';
import { type Position, type PrimaryPosition, START } from '../../positions/position.js';
import { positionOf } from '../../positions/position_message.js';

const { GroupPhase } = whinyoke;

/**
 * A primary is probed if its newest position is older. Together with a long poll and a round of
 * reports, the positions that proxies get are still younger than the shortest common staleness
 * bound (1.5 s).
 */
const PROBE_AGE_MS = 600;
/** Older positions are not passed to proxies. */
const MAX_POSITION_AGE_MS = 3000;
/** How long the request of a proxy for positions stays in effect. */
const DEMAND_TIMEOUT_MS = 1000;
const CONNECT_TIMEOUT_MS = 500;

export class PrimaryPositionCache {
  private readonly positions = new Map<string, PrimaryPosition>();
  private readonly probing = new Set<string>();
  private demandUntil = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly catalog: Catalog,
    private readonly connector: InstanceConnector,
    private readonly isLeading: () => boolean,
  ) {}

  /**
   * Starts a leadership. Times of former leaders are on other clocks, so their positions are
   * dropped.
   */
  begin(): void {
    this.positions.clear();
  }

  /** Stores reports whose times are on this leader's clock. */
  recordReports(reports: readonly whinyoke.IPositionReport[]): void {
    for (const { group, epoch, position, askedAt } of reports) {
      this.store(group ?? '', {
        epoch: epoch ?? 0,
        position: positionOf(position) ?? START,
        askedAt: askedAt ?? 0,
      });
    }
  }

  /** Records that a proxy needs positions. */
  recordDemand(): void {
    this.demandUntil = this.clock.now() + DEMAND_TIMEOUT_MS;
  }

  /**
   * Probes the primaries without a recent position; resolves once all of them have replied or
   * failed.
   */
  async probeMissing(): Promise<void> {
    const now = this.clock.now();
    if (now > this.demandUntil || !this.isLeading()) return;
    const missing = this.catalog.groups.filter((entry) => this.needsProbe(entry, now));
    await Promise.all(missing.map((entry) => this.probe(entry)));
  }

  /** Positions for a proxy; undefined if none is known. */
  newest(): whinyoke.IPrimaryPositions | undefined {
    const now = this.clock.now();
    const known = this.catalog.groupsByName.map((entry) => this.usablePosition(entry, now));
    if (known.every((item) => item === undefined)) return undefined;
    return {
      terms: known.map((item) => item?.position.term ?? 0),
      sequences: known.map((item) => item?.position.sequence ?? 0),
      agesMs: known.map((item) => (item ? Math.max(1, Math.ceil(now - item.askedAt)) : 0)),
    };
  }

  /**
   * Position of the primary of an epoch that was requested after a time on this leader's clock;
   * undefined if none is known.
   */
  requestedAfter(group: string, epoch: number, time: number): Position | undefined {
    const known = this.positions.get(group);
    return known && known.epoch === epoch && known.askedAt > time ? known.position : undefined;
  }

  private usablePosition(entry: GroupEntry, now: number): PrimaryPosition | undefined {
    const known = this.positions.get(entry.group ?? '');
    if (!known || known.epoch !== entry.epoch || entry.phase === GroupPhase.CHANGING) {
      return undefined;
    }
    return now - known.askedAt < MAX_POSITION_AGE_MS ? known : undefined;
  }

  private needsProbe(entry: GroupEntry, now: number): boolean {
    if (entry.phase === GroupPhase.CHANGING || this.probing.has(entry.group ?? '')) return false;
    // No replica may be read in this case, so the position would not be used.
    if (isPrimaryStuck(this.catalog, entry)) return false;
    const known = this.usablePosition(entry, now);
    return known === undefined || now - known.askedAt > PROBE_AGE_MS;
  }

  /** Connects to a primary, which reports its position at the start of a connection. */
  private async probe(entry: GroupEntry): Promise<void> {
    const group = entry.group ?? '';
    const instance = this.catalog.instance(entry.primary ?? '');
    const isOfEpoch = (instance?.incarnation ?? 0) === (entry.primaryIncarnation ?? 0);
    if (!instance || !isOfEpoch) return;
    this.probing.add(group);
    const askedAt = this.clock.now();
    try {
      const target = targetOf(instance);
      const { connection, position } = await this.connector.connect(target, CONNECT_TIMEOUT_MS);
      connection.close();
      if (position && this.isLeading()) {
        this.store(group, { epoch: entry.epoch ?? 0, position, askedAt });
      }
    } catch {
      // The next check probes the primary again; until then the group's readers ask it themselves.
    } finally {
      this.probing.delete(group);
    }
  }

  /** Stores a position of the current epoch if it is newer than the known one. */
  private store(group: string, item: PrimaryPosition): void {
    const entry = this.catalog.group(group);
    if (entry?.epoch !== item.epoch || entry.phase === GroupPhase.CHANGING) return;
    const known = this.positions.get(group);
    if (known && known.epoch === item.epoch && known.askedAt >= item.askedAt) return;
    const knownPosition = known?.epoch === item.epoch ? known.position : undefined;
    if (isOfLaterIncarnation(entry, item.position, knownPosition)) return;
    if (item.askedAt > this.clock.now()) return;
    this.positions.set(group, item);
  }
}

/**
 * Newest known positions of the primaries, on the leader. Proxies that hear from a primary report its position, and the
 * leader hands that on to those that read from its replicas without hearing from it. Where nobody reports, the leader
 * asks the primary itself. See docs/design/reads-at-scale.md.
 *
 * Owns the positions of one leadership. Relies on reports of proxies and on the primaries' answers; either may be missing, and
 * readers then ask their primary themselves.
 */
import type { Catalog, GroupEntry } from '../catalog/catalog.js';
import { targetOf } from '../failover/instance_target.js';
import { isPrimaryStuck } from '../failover/primary_evacuation.js';
import { isOfLaterIncarnation } from '../leases/epoch_incarnation.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import type { InstanceConnector } from '../instance/instance_connection.js';
import type { Clock } from '../../runtime/runtime.js';
import { type PrimaryPosition, START } from '../../positions/position.js';
import { positionOf } from '../../positions/position_message.js';

const { GroupPhase } = whinyoke;

/**
 * A primary is asked when its newest position is older than this, in milliseconds. With the time that a request is held
 * and a round of reports, what proxies get is younger than the shortest usual bound of staleness (1.5 s).
 */
const PROBE_AGE_MS = 600;
/** A position older than this is not handed on, in milliseconds. */
const MAX_POSITION_AGE_MS = 3000;
/** For how long the wish of a proxy counts, in milliseconds. */
const DEMAND_TIMEOUT_MS = 1000;
/** Time to open a connection to a primary, in milliseconds. A guess, not measured. */
const CONNECT_TIMEOUT_MS = 500;

/** Cache of one leader. */
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

  /** Begins a leadership: times of former leaders mean nothing here. */
  begin(): void {
    this.positions.clear();
  }

  /** Takes over reports whose times are on this leader's clock. */
  recordReports(reports: readonly whinyoke.IPositionReport[]): void {
    for (const { group, epoch, position, askedAt } of reports) {
      this.store(group ?? '', {
        epoch: epoch ?? 0,
        position: positionOf(position) ?? START,
        askedAt: askedAt ?? 0,
      });
    }
  }

  /** A proxy lacks positions. */
  recordDemand(): void {
    this.demandUntil = this.clock.now() + DEMAND_TIMEOUT_MS;
  }

  /** Asks the primaries of which too little is known; resolves once all of them have answered or failed. */
  async probeMissing(): Promise<void> {
    const now = this.clock.now();
    if (now > this.demandUntil || !this.isLeading()) return;
    const missing = this.catalog.groups.filter((entry) => this.needsProbe(entry, now));
    await Promise.all(missing.map((entry) => this.probe(entry)));
  }

  /** Positions for a proxy; undefined when none is known. */
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

  private usablePosition(entry: GroupEntry, now: number): PrimaryPosition | undefined {
    const known = this.positions.get(entry.group ?? '');
    if (!known || known.epoch !== entry.epoch || entry.phase === GroupPhase.CHANGING) {
      return undefined;
    }
    return now - known.askedAt < MAX_POSITION_AGE_MS ? known : undefined;
  }

  private needsProbe(entry: GroupEntry, now: number): boolean {
    if (entry.phase === GroupPhase.CHANGING || this.probing.has(entry.group ?? '')) return false;
    // No replica may be read, so its position would be of no use.
    if (isPrimaryStuck(this.catalog, entry)) return false;
    const known = this.usablePosition(entry, now);
    return known === undefined || now - known.askedAt > PROBE_AGE_MS;
  }

  /** Asks a primary, which names its position when a connection to it begins. */
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
      // The primary is asked again at the next look; until then its group's readers ask it themselves.
    } finally {
      this.probing.delete(group);
    }
  }

  /** Keeps a position of the present epoch if it is younger than what is known. */
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

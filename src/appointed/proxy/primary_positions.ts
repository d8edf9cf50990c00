/**
 * Log positions of primaries, as needed by reads from replicas: the minimum position of each group, and the exchange of
 * positions with other proxies through control. While control is unreachable, reads of a group go to its primary until that
 * primary has answered this proxy.
 */
import { isOfLaterIncarnation } from '../leases/epoch_incarnation.js';
import type { Position } from '../../positions/position.js';
import type { whinyoke } from '../../protocol/generated/messages.js';
import { type Clock, delay } from '../../runtime/runtime.js';
import { MinimumPosition } from '../routing/minimum_position.js';
import type { PrimaryLeases } from '../trust/primary_leases.js';
import { SharedPositions, sharedPositionsOf } from './shared_positions.js';

/** How long a proxy waits for positions after its first catalog: a new leader takes one connect and two round trips. */
const FIRST_POSITIONS_WAIT_MS = 50;

export class PrimaryPositions {
  private readonly minimumPositions = new Map<string, MinimumPosition>();
  private readonly shared = new SharedPositions();
  /** Until when the first positions of primaries are expected from control; undefined before the first catalog. */
  private expectedUntil: number | undefined;
  private resolveFirst: () => void = () => undefined;
  private readonly firstReceived = new Promise<void>((resolve) => {
    this.resolveFirst = resolve;
  });

  constructor(
    private readonly clock: Clock,
    private readonly leases: PrimaryLeases,
  ) {}

  minimumPositionOf(group: string): MinimumPosition {
    let minimumPosition = this.minimumPositions.get(group);
    if (!minimumPosition) {
      minimumPosition = new MinimumPosition();
      this.minimumPositions.set(group, minimumPosition);
    }
    return minimumPosition;
  }

  /** Records the position in the reply of the leased primary of `epoch` to a request that was sent at `askedAt`. */
  recordFromPrimary(group: string, epoch: number, askedAt: number, position: Position): void {
    if (this.isOfLaterIncarnation(group, epoch, position)) return;
    this.minimumPositionOf(group).record(epoch, askedAt, position);
    this.shared.recordOwn(group, epoch, askedAt, position);
  }

  /** Records a read that replicas may serve, so that positions of the group are requested from control. */
  recordReplicaRead(group: string): void {
    this.shared.recordRead(group, this.clock.now());
  }

  /**
   * Waits until a position of the group's primary is known, or until the first positions are overdue. Without this wait
   * all reads right after a start would go to the primaries.
   */
  async awaitMinimumPosition(group: string): Promise<void> {
    const remainingMs = (this.expectedUntil ?? -Infinity) - this.clock.now();
    if (remainingMs <= 0 || this.minimumPositionOf(group).newestSentAt !== undefined) return;
    await Promise.race([this.firstReceived, delay(this.clock, remainingMs)]);
  }

  /** Starts the wait for the first positions; called when the first catalog is in force. */
  expectFirst(): void {
    this.expectedUntil = this.clock.now() + FIRST_POSITIONS_WAIT_MS;
  }

  /** Whether control should send positions with its reply. */
  needsSharedPositions(now: number): boolean {
    const isFirstMissing = this.expectedUntil === undefined || now < this.expectedUntil;
    return isFirstMissing || this.shared.needsSharedPositions(now);
  }

  /** Term of the leader whose clock the times in reports refer to. */
  get clockTerm(): number {
    return this.shared.clockTerm;
  }

  /** Positions not reported to control yet. */
  takeReports(now: number): readonly whinyoke.IPositionReport[] {
    return this.shared.takeReports(now);
  }

  /** Records the leader's clock from a reply that arrived at `now`. */
  recordLeaderClock(reply: whinyoke.ISyncReply, now: number): void {
    this.shared.recordLeaderClock(reply, now);
  }

  /**
   * Whether a position may be that of an instance that restarted without its data: a minimum position must never decrease.
   * A reply that was overtaken is dropped as well, which does no harm.
   */
  private isOfLaterIncarnation(group: string, epoch: number, position: Position): boolean {
    const entry = this.leases.entryOf(group);
    const known = this.minimumPositionOf(group).highestInEpoch(epoch);
    return entry !== undefined && isOfLaterIncarnation(entry, position, known);
  }

  /** Applies the positions of other proxies in the reply to a request that was sent at `sentAt`. */
  adopt(reply: whinyoke.ISyncReply, sentAt: number): void {
    const positions = sharedPositionsOf(reply, this.leases.groupNames, sentAt);
    for (const { group, askedAt, position } of positions) {
      const { epoch } = this.leases.entryOf(group) ?? {};
      if (this.isOfLaterIncarnation(group, epoch ?? 0, position)) continue;
      this.minimumPositionOf(group).record(epoch ?? 0, askedAt, position);
    }
    if (positions.length > 0) this.resolveFirst();
  }
}

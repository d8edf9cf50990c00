/**
 * Positions of primaries that reads from replicas need. Owns the position floor of each group, and the exchange of positions
 * with other proxies. Relies on control for positions of primaries that this proxy does not hear from; without control
 * reads go to primaries until these have answered.
 */
import { isOfLaterIncarnation } from '../leases/epoch_incarnation.js';
import type { Position } from '../../positions/position.js';
import type { whinyoke } from '../../protocol/generated/messages.js';
import { type Clock, delay } from '../../runtime/runtime.js';
import { MinimumPosition } from '../routing/minimum_position.js';
import type { PrimaryLeases } from '../trust/primary_leases.js';
import { SharedPositions, sharedPositionsOf } from './shared_positions.js';

/**
 * How long after its first catalog a proxy waits for the positions of primaries, in milliseconds: a new leader asks for
 * them at once, which takes as long as opening a connection (12 to 30 ms) and two trips. Guess, not measured.
 */
const FIRST_POSITIONS_WAIT_MS = 50;

/** Positions of one proxy. */
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

  /** Position floor of a group. */
  minimumPositionOf(group: string): MinimumPosition {
    let minimumPosition = this.minimumPositions.get(group);
    if (!minimumPosition) {
      minimumPosition = new MinimumPosition();
      this.minimumPositions.set(group, minimumPosition);
    }
    return minimumPosition;
  }

  /** Notes a position with which the leased primary of `epoch` answered a request that was sent at `askedAt`. */
  recordFromPrimary(group: string, epoch: number, askedAt: number, position: Position): void {
    if (this.isOfLaterIncarnation(group, epoch, position)) return;
    this.minimumPositionOf(group).record(epoch, askedAt, position);
    this.shared.recordOwn(group, epoch, askedAt, position);
  }

  /** Notes a read that replicas may serve. */
  recordReplicaRead(group: string): void {
    this.shared.recordRead(group, this.clock.now());
  }

  /**
   * Resolves when a position of the group's primary is known, or when none is to be expected soon. Replicas can serve
   * reads from then on, so that not all first reads after a start go to the primaries.
   */
  async awaitMinimumPosition(group: string): Promise<void> {
    const remainingMs = (this.expectedUntil ?? -Infinity) - this.clock.now();
    if (remainingMs <= 0 || this.minimumPositionOf(group).newestSentAt !== undefined) return;
    await Promise.race([this.firstReceived, delay(this.clock, remainingMs)]);
  }

  /** Expects the first positions soon, since the first catalog is in force. */
  expectFirst(): void {
    this.expectedUntil = this.clock.now() + FIRST_POSITIONS_WAIT_MS;
  }

  /** Whether control is to send positions with its reply. */
  needsSharedPositions(now: number): boolean {
    const isFirstMissing = this.expectedUntil === undefined || now < this.expectedUntil;
    return isFirstMissing || this.shared.needsSharedPositions(now);
  }

  /** Term of the leader on whose clock reports give their times. */
  get clockTerm(): number {
    return this.shared.clockTerm;
  }

  /** Positions of primaries that control has not received yet. */
  takeReports(now: number): readonly whinyoke.IPositionReport[] {
    return this.shared.takeReports(now);
  }

  /** Takes over the leader's clock from a reply that arrived at `now`. */
  recordLeaderClock(reply: whinyoke.ISyncReply, now: number): void {
    this.shared.recordLeaderClock(reply, now);
  }

  /**
   * Whether a position may be that of an instance that started again, empty: a floor must not be lower than what was told. An
   * answer that was overtaken is taken for one, too, and is not missed.
   */
  private isOfLaterIncarnation(group: string, epoch: number, position: Position): boolean {
    const entry = this.leases.entryOf(group);
    const known = this.minimumPositionOf(group).highestInEpoch(epoch);
    return entry !== undefined && isOfLaterIncarnation(entry, position, known);
  }

  /** Takes over positions of other proxies from a reply to a request that was sent at `sentAt`. */
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

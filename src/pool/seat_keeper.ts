/** Holds this process's seats at one instance and keeps its pool and slots within their shares. */
import type { BackendConnection } from '../backend/backend.js';
import { type Clock, type Timer, delay } from '../runtime/runtime.js';
import { queryText } from '../topology/instance_report.js';
import type { InstancePool } from './instance_pool.js';
import {
  type InstanceLimits,
  NO_SHARE,
  type Share,
  seatLockName,
  shareOfSeat,
  sumShares,
} from './shares.js';
import type { SessionTerminator } from './session_terminator.js';
import type { SlotQueue } from './slot_queue.js';

const RETRY_MS = 100;
/** Time between taking a seat and using its part, in milliseconds. */
const SEAT_SETTLE_MS = 150;

/** Keeper of the seats at one instance. */
export class SeatKeeper {
  private wanted: readonly number[] = [];
  private readonly held = new Set<number>();
  private connection: BackendConnection | undefined;
  private reconciling = false;
  private timer: Timer | undefined;
  private stopped = false;

  constructor(
    private readonly limits: InstanceLimits,
    private readonly clock: Clock,
    private readonly pool: InstancePool,
    private readonly slots: SlotQueue,
    private readonly terminator: SessionTerminator,
  ) {
    pool.onClosing = () => this.trigger();
  }

  /** Resources that this process may use now. */
  get share(): Share {
    return this.shareOf([...this.held]);
  }

  /** Sets the seats to hold. */
  setWanted(seats: readonly number[]): void {
    this.wanted = seats;
    this.trigger();
  }

  /** A monitoring connection opened; seats can be taken on it. */
  onConnected(connection: BackendConnection): void {
    this.connection = connection;
    this.trigger();
  }

  /** The monitoring connection is gone, and all seats with it: nothing may be used any more. */
  onDisconnected(): void {
    this.connection = undefined;
    this.held.clear();
    this.applyShare(NO_SHARE);
    this.pool.closeAll();
  }

  /** Gives everything up. */
  stop(): void {
    this.stopped = true;
    this.timer?.cancel();
    this.held.clear();
    this.applyShare(NO_SHARE);
  }

  private trigger(): void {
    if (this.reconciling || this.stopped) return;
    this.timer?.cancel();
    void this.reconcile();
  }

  private async reconcile(): Promise<void> {
    this.reconciling = true;
    try {
      if (this.connection) await this.terminator.run(this.connection);
      await this.giveUpUnwanted();
      await this.takeWanted();
    } catch {
      // The connection broke; the next one triggers again.
    }
    this.reconciling = false;
    if (this.stopped) return;
    if (this.terminator.hasWork && this.connection && !this.connection.closed) {
      this.trigger();
      return;
    }
    if (this.isSettled()) return;
    this.timer = this.clock.setTimer(RETRY_MS, () => this.trigger());
  }

  private isSettled(): boolean {
    const wanted = new Set(this.wanted);
    return wanted.size === this.held.size && [...this.held].every((seat) => wanted.has(seat));
  }

  /**
   * Gives up connections first, then slots, and releases a lock only once its part is out of use.
   * Slots stay until then, so that transactions under way can end.
   */
  private async giveUpUnwanted(): Promise<void> {
    const unwanted = [...this.held].filter((seat) => !this.wanted.includes(seat));
    const connection = this.connection;
    if (unwanted.length === 0 || !connection) return;
    const remaining = this.shareOf([...this.held].filter((seat) => !unwanted.includes(seat)));
    this.pool.setLimit(remaining.connections);
    if (this.pool.size > remaining.connections) return;
    this.slots.setLimit(remaining.slots);
    if (this.slots.used > remaining.slots) return;
    for (const seat of unwanted) {
      this.held.delete(seat);
      await queryText(connection, `SELECT RELEASE_LOCK('${seatLockName(seat)}')`);
    }
  }

  private async takeWanted(): Promise<void> {
    const connection = this.connection;
    if (!connection) return;
    for (const seat of this.wanted) {
      if (this.held.has(seat)) continue;
      const rows = await queryText(connection, `SELECT GET_LOCK('${seatLockName(seat)}', 0)`);
      if (rows[0]?.[0] !== '1') continue;
      // The former holder's other connections end at about the same time as its monitoring connection.
      await delay(this.clock, SEAT_SETTLE_MS);
      if (this.connection !== connection || this.stopped) return;
      this.held.add(seat);
      this.applyShare(this.share);
    }
  }

  private shareOf(seats: readonly number[]): Share {
    return sumShares(seats.map((seat) => shareOfSeat(this.limits, seat)));
  }

  private applyShare(share: Share): void {
    this.slots.setLimit(share.slots);
    this.pool.setLimit(share.connections);
  }
}

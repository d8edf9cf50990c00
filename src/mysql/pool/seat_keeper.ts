/** Holds this process's seats at one instance and keeps its pool and slots within their shares. */
import type { BackendConnection } from '../backend/backend.js';
import { BackendConnectionLostError } from '../../errors/errors.js';
import { type Clock, type Timer, delay } from '../../runtime/runtime.js';
import { queryText } from '../topology/instance_report.js';
import type { BackendPool } from './backend_pool.js';
import {
  type InstanceLimits,
  NO_SHARE,
  type Share,
  shareOfUnit,
  sumShares,
  unitLockName,
  unitsOfSeat,
} from './shares.js';
import type { SessionTerminator } from './session_terminator.js';
import type { SlotQueue } from './slot_queue.js';

const RETRY_MS = 100;
/** Time between taking units and using them, in milliseconds. */
const UNIT_SETTLE_MS = 150;

/** Keeper of the seats at one instance. */
export class SeatKeeper {
  /** Units that this process should hold, and those that it may use. */
  private wanted: readonly number[] = [];
  private readonly held = new Set<number>();
  private connection: BackendConnection | undefined;
  private reconciling = false;
  private timer: Timer | undefined;
  private stopped = false;

  constructor(
    private readonly limits: InstanceLimits,
    private readonly clock: Clock,
    private readonly pool: BackendPool,
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
    this.wanted = seats.flatMap((seat) => unitsOfSeat(this.limits, seat));
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
    this.giveUpInstance();
  }

  /** Ends everything under way at the instance; whoever waits for it may look for another one. */
  giveUpInstance(): void {
    this.pool.closeAll();
    const message = `${this.pool.address} was given up`;
    this.slots.refuseWaiting(new BackendConnectionLostError(message, { sent: false }));
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
    return wanted.size === this.held.size && [...this.held].every((unit) => wanted.has(unit));
  }

  /**
   * Gives up connections first, then slots, and releases a lock only once its part is out of use.
   * Slots stay until then, so that transactions under way can end.
   */
  private async giveUpUnwanted(): Promise<void> {
    const unwanted = [...this.held].filter((unit) => !this.wanted.includes(unit));
    const connection = this.connection;
    if (unwanted.length === 0) {
      // A unit that was being given up may be wanted again.
      this.applyShare(this.share);
      return;
    }
    if (!connection) return;
    const remaining = this.shareOf([...this.held].filter((unit) => !unwanted.includes(unit)));
    this.pool.setLimit(remaining.connections);
    if (this.pool.size > remaining.connections) return;
    this.slots.setLimit(remaining.slots);
    if (this.slots.used > remaining.slots) return;
    for (const unit of unwanted) {
      this.held.delete(unit);
      await queryText(connection, `SELECT RELEASE_LOCK('${unitLockName(unit)}')`);
    }
  }

  private async takeWanted(): Promise<void> {
    const connection = this.connection;
    if (!connection) return;
    const taken: number[] = [];
    for (const unit of this.wanted) {
      if (this.held.has(unit)) continue;
      const rows = await queryText(connection, `SELECT GET_LOCK('${unitLockName(unit)}', 0)`);
      if (rows[0]?.[0] === '1') taken.push(unit);
    }
    if (taken.length === 0) return;
    // The former holder's other connections end at about the same time as its monitoring connection.
    await delay(this.clock, UNIT_SETTLE_MS);
    if (this.connection !== connection || this.stopped) return;
    for (const unit of taken) this.held.add(unit);
    this.applyShare(this.share);
  }

  private shareOf(units: readonly number[]): Share {
    return sumShares(units.map((unit) => shareOfUnit(this.limits, unit)));
  }

  private applyShare(share: Share): void {
    this.slots.setLimit(share.slots);
    this.pool.setLimit(share.connections);
  }
}

/** Checks that each group acknowledges commits again, within a bound, once everything runs. */
import { CALL_LIFETIME_MS } from '../../src/appointed/failover/pending_appointments.js';
import type { AppointedWorld } from './appointed_world.js';

const CHECK_INTERVAL_MS = 100;
/** An election, a change of primary and its attempts. */
const CHANGE_MS = 3000;

/**
 * Longest time without an acknowledged commit while everything runs and callers write, in milliseconds. A call whose outcome
 * is not known may bind the group to an instance that can't lead, until the call can no longer take effect.
 */
export const RECOVERY_LIMIT_MS = CALL_LIFETIME_MS + CHANGE_MS;

/** The watch over one simulation. */
export class RecoveryWatch {
  private everythingRunsSince: number | undefined;
  private isStopped = false;
  private readonly reported = new Set<string>();

  constructor(private readonly world: AppointedWorld) {}

  /** Checks periodically until it is stopped. */
  start(): void {
    if (this.isStopped) return;
    this.check();
    this.world.scheduler.schedule(CHECK_INTERVAL_MS, () => this.start());
  }

  /** Ends the checks; called when callers stop. */
  stop(): void {
    this.isStopped = true;
  }

  private check(): void {
    const { world } = this;
    const { now } = world.scheduler;
    if (!this.everythingRuns) {
      this.everythingRunsSince = undefined;
      this.reported.clear();
      return;
    }
    this.everythingRunsSince ??= now;
    for (const { name } of world.groups) {
      const acknowledgedAt = world.judge.lastAcknowledgedAt.get(name) ?? 0;
      const silenceMs = now - Math.max(this.everythingRunsSince, acknowledgedAt);
      if (silenceMs <= RECOVERY_LIMIT_MS || this.reported.has(name)) continue;
      this.reported.add(name);
      world.judge.add('recovery', `${name} acknowledged nothing for ${Math.round(silenceMs)} ms`);
    }
  }

  private get everythingRuns(): boolean {
    const { coordinators, routers, network } = this.world;
    const areMachinesRunning = [...coordinators, ...routers].every((machine) => machine.isRunning);
    if (!areMachinesRunning || network.isDisturbed) return false;
    return this.world.instanceMachines().every(({ machine }) => {
      const instance = machine.running;
      return instance?.process.running === true && !instance.isDeaf;
    });
  }
}

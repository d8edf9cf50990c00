/**
 * What the leader knows of instances from their heartbeats.
 *
 * Owns the newest heartbeat of each instance, in memory: a new leader learns them anew. Relies on the instances, whose
 * heartbeats may be late, missing or out of order.
 */
import { whinyoke } from '../../protocol/generated/messages.js';

/** After such a silence a lower sequence number is a restart, not a late heartbeat, in milliseconds. A guess, not measured. */
const RESTART_SILENCE_MS = 3000;

interface Heartbeat {
  readonly at: number;
  readonly sequence: number;
  readonly role: whinyoke.InstanceRole;
}

/** Monitor of all instances. */
export class InstanceMonitor {
  private readonly heartbeats = new Map<string, Heartbeat>();
  private begunAt = 0;

  /** Takes a heartbeat; a late one changes nothing. */
  note(heartbeat: whinyoke.IInstanceBeat, now: number): void {
    const id = heartbeat.instance?.id ?? '';
    const sequence = heartbeat.instance?.sequence ?? 0;
    const known = this.heartbeats.get(id);
    const isRestart = known && now - known.at > RESTART_SILENCE_MS;
    if (known && sequence < known.sequence && !isRestart) return;
    this.heartbeats.set(id, {
      at: now,
      sequence,
      role: heartbeat.role ?? whinyoke.InstanceRole.UNKNOWN,
    });
  }

  /** Forgets everything, at the begin of a leadership. */
  begin(now: number): void {
    this.heartbeats.clear();
    this.begunAt = now;
  }

  /** Milliseconds since the newest heartbeat, or since the leadership began when there was none. */
  age(instance: string, now: number): number {
    return now - (this.heartbeats.get(instance)?.at ?? this.begunAt);
  }

  /** Sequence of the instance's newest heartbeat; undefined when there was none. */
  newestSequenceOf(instance: string): number | undefined {
    return this.heartbeats.get(instance)?.sequence;
  }

  /** Role that the instance's newest heartbeat names. */
  roleOf(instance: string): whinyoke.InstanceRole {
    return this.heartbeats.get(instance)?.role ?? whinyoke.InstanceRole.UNKNOWN;
  }
}

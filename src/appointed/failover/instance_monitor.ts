/**
 * What the leader knows of instances from their heartbeats.
 *
 * Owns the newest heartbeat of each instance, in memory: a new leader learns them anew. Relies on the instances, whose
 * heartbeats may be late, missing or out of order.
 */
import { whinyoke } from '../../protocol/generated/messages.js';

/**
 * After such a silence a lower sequence number, or an earlier `born`, is a restart, not a late heartbeat, in milliseconds. A
 * guess, not measured.
 */
const RESTART_SILENCE_MS = 3000;

interface Heartbeat {
  readonly at: number;
  /** When its incarnation started, as it tells; 0 where it does not. */
  readonly born: number;
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
    const born = heartbeat.instance?.born || known?.born || 0;
    if (known && isLate(known, born, sequence) && !this.mayHaveEnded(id, now)) return;
    this.heartbeats.set(id, {
      at: now,
      born,
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

  /** Whether an instance was silent for so long that what contradicts its newest heartbeat is a restart, not late. */
  mayHaveEnded(instance: string, now: number): boolean {
    return this.age(instance, now) > RESTART_SILENCE_MS;
  }

  /** Whether the newest heartbeat came at `since` or later, and from the incarnation that tells `born`. */
  hasHeardSince(instance: string, born: number, since: number): boolean {
    const newest = this.heartbeats.get(instance);
    return newest !== undefined && newest.born === born && newest.at >= since;
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

/** Whether a heartbeat was sent before the known one, as far as they tell. */
function isLate(known: Heartbeat, born: number, sequence: number): boolean {
  if (known.born !== 0 && born !== known.born) return born < known.born;
  return sequence < known.sequence;
}

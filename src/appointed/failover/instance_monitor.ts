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
  readonly receivedAt: number;
  /** When its incarnation started, as it tells; 0 where it does not. */
  readonly startedAt: number;
  readonly sequence: number;
  readonly role: whinyoke.InstanceRole;
}

/** Monitor of all instances. */
export class InstanceMonitor {
  private readonly heartbeats = new Map<string, Heartbeat>();
  private leadingSince = 0;

  /** Takes a heartbeat; a late one changes nothing. */
  recordHeartbeat(heartbeat: whinyoke.IInstanceBeat, now: number): void {
    const id = heartbeat.instance?.id ?? '';
    const sequence = heartbeat.instance?.sequence ?? 0;
    const known = this.heartbeats.get(id);
    const startedAt = heartbeat.instance?.born || known?.startedAt || 0;
    if (known && isLate(known, startedAt, sequence) && !this.mayHaveRestarted(id, now)) return;
    this.heartbeats.set(id, {
      receivedAt: now,
      startedAt,
      sequence,
      role: heartbeat.role ?? whinyoke.InstanceRole.UNKNOWN,
    });
  }

  /** Forgets everything, at the begin of a leadership. */
  beginLeadership(now: number): void {
    this.heartbeats.clear();
    this.leadingSince = now;
  }

  /** Milliseconds since the newest heartbeat, or since the leadership began when there was none. */
  heartbeatAgeMs(instance: string, now: number): number {
    return now - (this.heartbeats.get(instance)?.receivedAt ?? this.leadingSince);
  }

  /** Whether an instance was silent for so long that what contradicts its newest heartbeat is a restart, not late. */
  mayHaveRestarted(instance: string, now: number): boolean {
    return this.heartbeatAgeMs(instance, now) > RESTART_SILENCE_MS;
  }

  /** Whether the newest heartbeat came at `since` or later, and from the incarnation that tells `born`. */
  hasHeartbeatSince(instance: string, startedAt: number, since: number): boolean {
    const newest = this.heartbeats.get(instance);
    return newest !== undefined && newest.startedAt === startedAt && newest.receivedAt >= since;
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
function isLate(known: Heartbeat, startedAt: number, sequence: number): boolean {
  if (known.startedAt !== 0 && startedAt !== known.startedAt) return startedAt < known.startedAt;
  return sequence < known.sequence;
}

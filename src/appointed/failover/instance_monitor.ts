/**
 * Newest heartbeat of each instance, as received by the leader.
 *
 * Heartbeats may be late, missing or out of order. The state is in memory; a new leader starts empty.
 */
import { whinyoke } from '../../protocol/generated/messages.js';

/** After a silence of this length, a lower sequence number or an earlier start time means a restart, not a late heartbeat. */
const RESTART_SILENCE_MS = 3000;

interface Heartbeat {
  readonly receivedAt: number;
  /** Start time of its incarnation as reported; 0 where it reports none. */
  readonly startedAt: number;
  readonly sequence: number;
  readonly role: whinyoke.InstanceRole;
}

export class InstanceMonitor {
  private readonly heartbeats = new Map<string, Heartbeat>();
  private leadingSince = 0;

  /** Records a heartbeat; ignores a late one. */
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

  /** Clears all state at the start of a leadership. */
  beginLeadership(now: number): void {
    this.heartbeats.clear();
    this.leadingSince = now;
  }

  /** Milliseconds since the newest heartbeat, or since the leadership began when there was none. */
  heartbeatAgeMs(instance: string, now: number): number {
    return now - (this.heartbeats.get(instance)?.receivedAt ?? this.leadingSince);
  }

  /** Whether an instance was silent for so long that a contradicting heartbeat means a restart, not a late one. */
  mayHaveRestarted(instance: string, now: number): boolean {
    return this.heartbeatAgeMs(instance, now) > RESTART_SILENCE_MS;
  }

  /** Whether the newest heartbeat came at `since` or later, and from the incarnation started at `startedAt`. */
  hasHeartbeatSince(instance: string, startedAt: number, since: number): boolean {
    const newest = this.heartbeats.get(instance);
    return newest !== undefined && newest.startedAt === startedAt && newest.receivedAt >= since;
  }

  /** Sequence number of the newest heartbeat of an instance; undefined when there was none. */
  newestSequenceOf(instance: string): number | undefined {
    return this.heartbeats.get(instance)?.sequence;
  }

  /** Role in the newest heartbeat of an instance. */
  roleOf(instance: string): whinyoke.InstanceRole {
    return this.heartbeats.get(instance)?.role ?? whinyoke.InstanceRole.UNKNOWN;
  }
}

/** Whether a heartbeat was sent before the known one, by start time and sequence number. */
function isLate(known: Heartbeat, startedAt: number, sequence: number): boolean {
  if (known.startedAt !== 0 && startedAt !== known.startedAt) return startedAt < known.startedAt;
  return sequence < known.sequence;
}

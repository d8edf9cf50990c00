/** What the leader knows of instances from their heartbeats. Not replicated: a new leader learns it anew. */
import { whinyoke } from '../../protocol/generated/messages.js';

/** After such a silence a lower sequence number is a restart, not a late heartbeat; in milliseconds. */
const RESTART_SILENCE_MS = 3000;

interface Beat {
  readonly at: number;
  readonly sequence: number;
  readonly role: whinyoke.InstanceRole;
}

/** Monitor of all instances. */
export class InstanceMonitor {
  private readonly beats = new Map<string, Beat>();
  private begunAt = 0;

  /** Notes a heartbeat; a late one changes nothing. */
  note(beat: whinyoke.IInstanceBeat, now: number): void {
    const id = beat.instance?.id ?? '';
    const sequence = beat.instance?.sequence ?? 0;
    const known = this.beats.get(id);
    const isRestart = known && now - known.at > RESTART_SILENCE_MS;
    if (known && sequence < known.sequence && !isRestart) return;
    this.beats.set(id, { at: now, sequence, role: beat.role ?? whinyoke.InstanceRole.UNKNOWN });
  }

  /** Forgets everything, at the begin of a leadership. */
  begin(now: number): void {
    this.beats.clear();
    this.begunAt = now;
  }

  /** Milliseconds since the newest heartbeat, or since the leadership began when there was none. */
  age(instance: string, now: number): number {
    return now - (this.beats.get(instance)?.at ?? this.begunAt);
  }

  /** Role that the instance told last. */
  roleOf(instance: string): whinyoke.InstanceRole {
    return this.beats.get(instance)?.role ?? whinyoke.InstanceRole.UNKNOWN;
  }
}

/**
 * Calls to the platform that may still take effect, as part of the replicated state.
 *
 * A call is recorded before it is sent, and stays until its outcome is known or it can no longer arrive. While a group has
 * one, only calls for the same instance are recorded, so a call that takes effect late names the primary or the only instance
 * that may become primary.
 */
import type { whinyoke } from '../../protocol/generated/messages.js';

/** Calls for one instance of a group that may still take effect. Immutable. */
export type PendingAppointment = Readonly<whinyoke.IPendingAppointment>;

/** Pending appointments by group. */
export class PendingAppointmentTable {
  private readonly entries = new Map<string, PendingAppointment>();

  get all(): readonly PendingAppointment[] {
    return [...this.entries.values()];
  }

  of(group: string): PendingAppointment | undefined {
    return this.entries.get(group);
  }

  /** Records a call at a log index; returns false if calls for another instance may still take effect. */
  begin(index: number, { group, instance, token }: whinyoke.IAppointmentCall): boolean {
    const current = this.entries.get(group ?? '');
    if (current && current.instance !== instance) return false;
    const calls = (current?.calls ?? 0) + 1;
    this.entries.set(group ?? '', { group, instance, token, newestCall: index, calls });
    return true;
  }

  /** Ends the newest call, or all; returns false if the newest one is another, or has ended before. */
  end({ group, newestCall, all }: whinyoke.IAppointmentCallEnd): boolean {
    const current = this.entries.get(group ?? '');
    if (!current || current.newestCall !== newestCall) return false;
    if (all) return this.entries.delete(group ?? '');
    if (current.isNewestOver) return false;
    this.removeOne(current);
    return true;
  }

  /** Ends one of the calls for an instance, which made it the primary. */
  recordPrimary(group: string, instance: string): void {
    const current = this.entries.get(group);
    if (current?.instance === instance) this.removeOne(current);
  }

  /** Replaces all entries by those of a snapshot. */
  restore(entries: readonly whinyoke.IPendingAppointment[]): void {
    this.entries.clear();
    for (const entry of entries) this.entries.set(entry.group ?? '', entry);
  }

  private removeOne(entry: PendingAppointment): void {
    const calls = (entry.calls ?? 0) - 1;
    if (calls > 0) this.entries.set(entry.group ?? '', { ...entry, calls, isNewestOver: true });
    else this.entries.delete(entry.group ?? '');
  }
}

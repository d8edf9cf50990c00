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

  /** Records a call; returns false if calls for another instance may still take effect. */
  begin({ group, instance, id }: whinyoke.IAppointmentCall): boolean {
    const current = this.of(group ?? '');
    if (current && current.instance !== instance) return false;
    const calls = [...(current?.calls ?? []), id ?? ''];
    this.entries.set(group ?? '', { group, instance, calls });
    return true;
  }

  /** Ends calls; returns false if none of them is recorded. */
  end({ group, calls }: whinyoke.IAppointmentCallEnd): boolean {
    const current = this.of(group ?? '');
    const left = current?.calls?.filter((call) => !calls?.includes(call)) ?? [];
    if (!current || left.length === current.calls?.length) return false;
    if (left.length === 0) return this.entries.delete(group ?? '');
    this.entries.set(group ?? '', { ...current, calls: left });
    return true;
  }

  /** Ends the only call of a group, which made its instance the primary. Of several calls any one may have done so. */
  recordPrimary(group: string): void {
    if (this.of(group)?.calls?.length === 1) this.entries.delete(group);
  }

  /** Replaces all entries by those of a snapshot. */
  restore(entries: readonly whinyoke.IPendingAppointment[]): void {
    this.entries.clear();
    for (const entry of entries) this.entries.set(entry.group ?? '', entry);
  }
}

/**
 * Protections that the lab can switch off one by one, to show that each check of an invariant is able to
 * fail. The daemons always run with all of them.
 */

/** Names of the protections. */
export const PROTECTIONS = [
  'read-position',
  'commit-evidence',
  'connection-reset',
  'discard-on-timeout',
  'verdict',
  'once-key',
  'drain',
  'graceful-stop',
  'revision-check',
  'stable-identity',
] as const;

/** One protection. */
export type Protection = (typeof PROTECTIONS)[number];

/** Which protections are on. */
export class ProtectionSet {
  /** Everything on. */
  static readonly all = new ProtectionSet(new Set());

  private constructor(private readonly disabled: ReadonlySet<Protection>) {}

  /** All protections but one. */
  static without(protection: Protection): ProtectionSet {
    return new ProtectionSet(new Set([protection]));
  }

  /** Whether a protection is on. */
  isOn(protection: Protection): boolean {
    return !this.disabled.has(protection);
  }
}

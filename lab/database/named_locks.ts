/** Locks by name (GET_LOCK, RELEASE_LOCK) of one emulated instance; a session that ends gives its own up. */
export class NamedLocks {
  private readonly owners = new Map<string, object>();

  /** GET_LOCK without a wait: 1 when the session now holds the lock, otherwise 0. */
  take(name: string, session: object): number {
    const owner = this.owners.get(name);
    if (owner && owner !== session) return 0;
    this.owners.set(name, session);
    return 1;
  }

  /** RELEASE_LOCK: 1 when the session held the lock, otherwise 0. */
  release(name: string, session: object): number {
    if (this.owners.get(name) !== session) return 0;
    this.owners.delete(name);
    return 1;
  }

  /** Gives up all locks of a session. */
  releaseAll(session: object): void {
    for (const [name, owner] of this.owners) {
      if (owner === session) this.owners.delete(name);
    }
  }
}

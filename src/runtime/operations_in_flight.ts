/** Operations that have been started and have not ended, so that a shutdown can wait for them. */
export class OperationsInFlight {
  private readonly operations = new Set<Promise<unknown>>();

  /** Adds an operation until it ends, and returns it. */
  track<T>(operation: Promise<T>): Promise<T> {
    const remove = (): void => void this.operations.delete(operation);
    this.operations.add(operation);
    operation.then(remove, remove);
    return operation;
  }

  /** Number of operations in flight. */
  get count(): number {
    return this.operations.size;
  }

  /** Resolves when all operations that are in flight now have ended, whatever their outcome. */
  async settled(): Promise<void> {
    await Promise.allSettled(this.operations);
  }
}

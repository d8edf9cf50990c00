/** A connection to an instance that can only be closed, for tests of pools. */
import type { InstanceConnection } from '../../src/appointed/instance/instance_connection.js';

/** Fake of one connection. */
export class FakeConnection implements InstanceConnection {
  onClosed: (() => void) | undefined;
  closed = false;
  run: InstanceConnection['run'] = () => Promise.reject(new Error('unused'));
  close(): void {
    this.closed = true;
    this.onClosed?.();
  }
}

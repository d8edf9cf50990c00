/** Instance connection that can only be closed, for tests of pools. */
import type { InstanceConnection } from '../../src/appointed/instance/instance_connection.js';

export class FakeConnection implements InstanceConnection {
  onClosed: (() => void) | undefined;
  closed = false;
  run: InstanceConnection['run'] = () =>
    Promise.reject(new Error('FakeConnection runs no commands'));
  close(): void {
    this.closed = true;
    this.onClosed?.();
  }
}

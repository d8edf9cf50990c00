/** Listener of one simulated process of a proxy: runs the product's connections of callers and its graceful shutdown. */
import type { CallerMessage } from '../../src/appointed/sessions/caller_channel.js';
import { CallerConnections } from '../../src/appointed/sessions/caller_connections.js';
import type { AppointedProxy } from '../../src/appointed/proxy/appointed_proxy.js';
import { type StoppingProxy, stopGracefully } from '../../src/appointed/proxy/graceful_stop.js';
import type { VirtualProcess } from '../simulation/virtual_process.js';
import type { StreamEnd } from '../simulation/virtual_stream.js';
import { type AppointedProtection, withoutShutdownDeadline } from './disabled_protections.js';
import { VirtualCallerChannel } from './virtual_caller_channel.js';

/** Accepts callers until the process ends. */
export class SimulatedListener {
  readonly connections: CallerConnections;
  /** Whether the process was told to stop. */
  isStopping = false;
  private isAccepting = true;
  private hasStopped = false;

  constructor(
    private readonly core: AppointedProxy,
    private readonly process: VirtualProcess,
    private readonly disabled: ReadonlySet<AppointedProtection>,
  ) {
    this.connections = new CallerConnections(core);
  }

  /** Whether the process stops as planned or has done so; not if something else ended it meanwhile. */
  get endsAsPlanned(): boolean {
    return this.isStopping && (this.process.alive || this.hasStopped);
  }

  /**
   * Serves a connection, unless none are accepted any more.
   * @param onRead - called with each message that the process has read
   */
  accept(stream: StreamEnd, onRead: () => void): void {
    if (!this.isAccepting) {
      stream.close();
      return;
    }
    const announcesClose = !this.disabled.has('announced-close');
    const channel = new VirtualCallerChannel(stream, this.process, announcesClose);
    const connection = this.connections.add(channel);
    stream.onClosed = () => connection.handleClose();
    stream.onMessage = (message) => {
      onRead();
      channel.unanswered++;
      connection.receive([message as CallerMessage]);
    };
  }

  /** Shuts down as on SIGTERM; resolves when the process may end, and never if something else ends it before. */
  async stop(graceMs: number): Promise<void> {
    const { core, connections } = this;
    this.isStopping = true;
    core.startLeaving();
    const proxy: StoppingProxy = {
      clock: core.clock,
      shutdown: core.shutdown,
      connections,
      relayedCount: () => core.relayedCount,
      closeInstances: () => core.closeInstances(),
      stopAccepting: () => (this.isAccepting = false),
    };
    const isWeakened = this.disabled.has('shutdown-deadline');
    await stopGracefully(isWeakened ? withoutShutdownDeadline(proxy) : proxy, graceMs);
    core.stop();
    this.hasStopped = true;
  }
}

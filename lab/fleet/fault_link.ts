/**
 * A loopback forwarder that stands between clients and one server and misbehaves on demand: it delays, holds back
 * one or both directions without a sign, and resets connections. Bytes that were held back go on afterwards, as
 * with a network that comes back.
 */
import { type Server, type Socket, connect, createServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { splitAddress } from '../../src/runtime/address.js';

/** Direction of bytes. */
export type LinkDirection = 'toServer' | 'toClient';

interface Forwarded {
  readonly client: Socket;
  readonly server: Socket;
}

async function sleepUntil(dueAt: number): Promise<void> {
  const remainingMs = dueAt - performance.now();
  if (remainingMs > 0) await sleep(remainingMs);
}

/** Link to one server. */
export class FaultLink {
  private readonly connections = new Set<Forwarded>();
  private readonly silent = new Set<LinkDirection>();
  private delayMs = 0;

  private constructor(
    private readonly listener: Server,
    private readonly target: string,
  ) {
    listener.on('connection', (client) => this.accept(client));
  }

  /** Listens at `address` and forwards to `target`; both are an IP address and port. */
  static async open(address: string, target: string): Promise<FaultLink> {
    const listener = createServer({ pauseOnConnect: true });
    const link = new FaultLink(listener, target);
    const { host, port } = splitAddress(address);
    await new Promise<void>((resolve, reject) => {
      listener.once('error', reject);
      listener.listen({ host, port }, resolve);
    });
    return link;
  }

  /** Holds back all bytes of some directions; returns what lets them go on. */
  silence(directions: readonly LinkDirection[]): () => void {
    for (const direction of directions) this.silent.add(direction);
    this.applySilence();
    return () => {
      for (const direction of directions) this.silent.delete(direction);
      this.applySilence();
    };
  }

  /** Delays all bytes by `delayMs` milliseconds each way; returns what ends that. */
  slowDown(delayMs: number): () => void {
    this.delayMs = delayMs;
    return () => {
      this.delayMs = 0;
    };
  }

  /** Resets all open connections, as seen from both sides. */
  resetAll(): void {
    for (const { client, server } of this.connections) {
      client.resetAndDestroy();
      server.resetAndDestroy();
    }
  }

  /** Closes the listener and all connections. */
  async close(): Promise<void> {
    for (const { client, server } of this.connections) {
      client.destroy();
      server.destroy();
    }
    await new Promise<void>((resolve) => this.listener.close(() => resolve()));
  }

  private accept(client: Socket): void {
    const server = connect(splitAddress(this.target));
    const forwarded = { client, server };
    this.connections.add(forwarded);
    client.setNoDelay(true);
    server.setNoDelay(true);
    this.forward(client, server);
    this.forward(server, client);
    const end = (): void => {
      this.connections.delete(forwarded);
      client.destroy();
      server.destroy();
    };
    client.on('close', end);
    server.on('close', end);
    this.applySilence();
  }

  private forward(from: Socket, to: Socket): void {
    let delivered: Promise<void> = Promise.resolve();
    from.on('error', () => from.destroy());
    from.on('data', (bytes) => {
      const dueAt = performance.now() + this.delayMs;
      // Bytes keep their order, also when the delay ends.
      delivered = delivered.then(() => sleepUntil(dueAt)).then(() => void to.write(bytes));
    });
  }

  private applySilence(): void {
    for (const { client, server } of this.connections) {
      if (this.silent.has('toServer')) client.pause();
      else client.resume();
      if (this.silent.has('toClient')) server.pause();
      else server.resume();
    }
  }
}

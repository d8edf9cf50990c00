/** A MySQL server that answers each statement with raw packets of the test's choice. */
import { createServer } from 'mysql2';
import { once } from 'node:events';
import type { AddressInfo, Server, Socket } from 'node:net';
import { CharacterSet, StatusFlag } from '../../src/mysql/wire/protocol.js';

/** Protocol 4.1, transactions, secure connection, authentication plugins. */
const CAPABILITY_FLAGS = 0x200 | 0x2000 | 0x8000 | 0x80000;

/** The part of the library's server connection that is used here. */
interface ServerSide {
  readonly stream: Socket;
  readonly clientHelloReply: { readonly clientFlags: number };
  serverHandshake(options: object): void;
  on(event: 'query', listener: (sql: string) => void): void;
}

/** A running server. */
export interface FrameServer {
  /** Host and port. */
  readonly address: string;
  /** Capability flags that the newest client announced. */
  readonly clientFlags: () => number;
  readonly close: () => void;
}

/** Starts a server; `answerTo` returns the packets to send after a statement. */
export async function startFrameServer(answerTo: (sql: string) => Buffer): Promise<FrameServer> {
  let clientFlags = 0;
  const server = createServer((connection) => {
    const client = connection as unknown as ServerSide;
    // The tests end connections while the server waits for more.
    connection.on('error', () => undefined);
    client.serverHandshake({
      protocolVersion: 10,
      serverVersion: 'test',
      connectionId: 1,
      statusFlags: StatusFlag.autocommit,
      characterSet: CharacterSet.utf8mb4,
      capabilityFlags: CAPABILITY_FLAGS,
      authCallback: (_request: object, callback: (error: null) => void) => {
        ({ clientFlags } = client.clientHelloReply);
        callback(null);
      },
    });
    client.on('query', (sql) => void client.stream.write(answerTo(sql)));
  });
  const { _server: listener } = server as unknown as { _server: Server };
  listener.listen(0, '127.0.0.1');
  await once(listener, 'listening');
  const { port } = listener.address() as AddressInfo;
  const close = (): void => void listener.close();
  return { address: `127.0.0.1:${port}`, clientFlags: () => clientFlags, close };
}

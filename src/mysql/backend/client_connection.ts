/** The parts of the `mysql2` client that raw commands use; the library does not export their types. */
import type { Socket } from 'node:net';
import type { Packet } from '../wire/packet.js';

/** What the library calls on a queued command; true from `execute` ends the command. */
export interface LibraryCommand {
  execute(packet: Packet | undefined, connection: ClientConnection): boolean;
  on(event: string, listener: () => void): void;
  once(event: string, listener: () => void): void;
}

/** The part of the library's connection that raw commands use. */
export interface ClientConnection {
  readonly stream: Socket;
  /** Sequence number of the next packet in either direction. */
  readonly sequenceId: number;
  addCommand(command: LibraryCommand): void;
  pause(): void;
  resume(): void;
  writePacket(packet: unknown): void;
  _resetSequenceId(): void;
}

/**
 * A command for the `mysql2` client that passes result packets on without decoding them. Decoding and
 * encoding each row would be most of the proxy's work.
 *
 * An answer is tied to its command by the order on the connection and by the sequence numbers of its packets. What breaks the
 * sequence may belong to another command, and a result that others follow is not the whole answer: both end the connection.
 */
import {
  BackendConnectionLostError,
  DatabaseError,
  ER_UNKNOWN_ERROR,
  SQL_STATE_GENERAL,
} from '../../errors/errors.js';
import { type Packet, framed, payloadOf } from '../wire/packet.js';
import type { Completion, ResultSink } from '../wire/result.js';
import { OK_MARKER, SESSION_TRACK_GTIDS, StatusFlag } from '../wire/protocol.js';
import type { ClientConnection, LibraryCommand } from './client_connection.js';

/** Where the outcome of a command goes. */
export interface CommandOutcome {
  resolve(completion: Completion): void;
  /** With a {@link BackendConnectionLostError}, the connection can't be used any more. */
  reject(error: Error): void;
}

/** End of an answer as the instance tells it. */
interface AnswerEnd extends Omit<Completion, 'inTransaction'> {
  /** One or more of {@link StatusFlag}. */
  readonly status: number;
}

type Phase = 'start' | 'header' | 'columns' | 'rows' | 'done';

/** One command and its answer. */
export class CommandRequest implements LibraryCommand {
  private phase: Phase = 'start';
  private readonly definitions: Buffer[] = [];
  private columnCount = 0;
  /** Sequence number that the next packet of the answer has. */
  private nextSequence = 0;

  constructor(
    private readonly payload: Buffer,
    private readonly sink: ResultSink,
    private readonly outcome: CommandOutcome,
  ) {}

  /** Ends the command from outside, when the connection broke. */
  fail(error: Error): void {
    if (this.phase === 'done') return;
    this.phase = 'done';
    this.outcome.reject(error);
  }

  execute(packet: Packet | undefined, connection: ClientConnection): boolean {
    if (this.phase === 'start') {
      this.send(connection);
      return false;
    }
    if (!packet || this.phase === 'done') return true;
    if (packet.sequenceId !== this.nextSequence) return this.breakOff('a packet out of sequence');
    this.nextSequence = connection.sequenceId;
    if (packet.isError()) return this.finishWithError(packet);
    switch (this.phase) {
      case 'header':
        return this.readHeader(packet);
      case 'columns':
        return this.readColumn(packet);
      default:
        return this.readRow(packet, connection);
    }
  }

  on(): void {
    // The library's pool listens for the end of a command; connections here are not pooled by it.
  }

  once(): void {
    // See `on`.
  }

  private send(connection: ClientConnection): void {
    this.phase = 'header';
    connection._resetSequenceId();
    const bytes = framed(this.payload);
    connection.writePacket(new OutgoingPacket(bytes));
    this.nextSequence = connection.sequenceId;
  }

  private readHeader(packet: Packet): boolean {
    if (payloadOf(packet)[0] === OK_MARKER) return this.finish(readOk(packet));
    this.columnCount = packet.readLengthCodedNumber() ?? 0;
    this.phase = 'columns';
    return false;
  }

  private readColumn(packet: Packet): boolean {
    if (this.definitions.length < this.columnCount) {
      this.definitions.push(packet.buffer.subarray(packet.start, packet.end));
      return false;
    }
    this.phase = 'rows';
    this.sink.columns({ kind: 'packets', packets: this.definitions });
    return false;
  }

  private readRow(packet: Packet, connection: ClientConnection): boolean {
    if (packet.isEOF()) {
      packet.skip(3);
      const status = packet.readInt16();
      return this.finish({ affectedRows: 0, insertId: 0, info: '', status });
    }
    this.sink.row(packet.buffer.subarray(packet.start, packet.end));
    const ready = this.sink.readyForMore?.();
    if (ready) {
      connection.pause();
      void ready.then(() => connection.resume());
    }
    return false;
  }

  private finish({ status, ...completion }: AnswerEnd): boolean {
    if (status & StatusFlag.moreResults) return this.breakOff('an answer of several results');
    this.phase = 'done';
    const inTransaction = (status & StatusFlag.inTransaction) !== 0;
    this.outcome.resolve({ ...completion, inTransaction });
    return true;
  }

  private breakOff(reason: string): boolean {
    this.fail(new BackendConnectionLostError(reason, { sent: true }));
    return true;
  }

  private finishWithError(packet: Packet): boolean {
    this.phase = 'done';
    const payload = payloadOf(packet);
    const code = payload.length > 2 ? payload.readUInt16LE(1) : ER_UNKNOWN_ERROR;
    const hasState = payload[3] === 0x23;
    const sqlState = hasState ? payload.subarray(4, 9).toString('latin1') : SQL_STATE_GENERAL;
    const message = payload.subarray(hasState ? 9 : 3).toString('utf8');
    this.outcome.reject(new DatabaseError(message, { code, sqlState }));
    return true;
  }
}

/** The two methods that the library's writer calls on a packet. */
class OutgoingPacket {
  constructor(readonly buffer: Buffer) {}

  length(): number {
    return this.buffer.length;
  }

  writeHeader(sequenceId: number): void {
    this.buffer[3] = sequenceId;
  }
}

function readOk(packet: Packet): AnswerEnd {
  packet.skip(1);
  const affectedRows = packet.readLengthCodedNumber() ?? 0;
  const insertId = packet.readLengthCodedNumber() ?? 0;
  const status = packet.readInt16();
  packet.skip(2);
  const hasMore = packet.offset < packet.end;
  const info = hasMore ? (packet.readLengthCodedString('utf8') ?? '') : '';
  const changed = (status & StatusFlag.sessionStateChanged) !== 0;
  return {
    affectedRows,
    insertId,
    info,
    gtid: changed ? readGtid(packet) : undefined,
    status,
  };
}

/** First GTID in the session state information of an OK packet. */
function readGtid(packet: Packet): string | undefined {
  if (packet.offset >= packet.end) return undefined;
  const total = packet.readLengthCodedNumber() ?? 0;
  const end = packet.offset + total;
  while (packet.offset < end) {
    const type = packet.readInt8();
    const length = packet.readLengthCodedNumber() ?? 0;
    const next = packet.offset + length;
    if (type === SESSION_TRACK_GTIDS) {
      packet.skip(1);
      return packet.readLengthCodedString('utf8') ?? undefined;
    }
    packet.offset = next;
  }
  return undefined;
}

/**
 * Writes answers of the MySQL protocol to a caller. Packets of one answer are collected and leave the
 * process in few writes, since a write per packet costs more than everything else on this path.
 * Source: MySQL internals manual, "Command Phase".
 */
import type { Socket } from 'node:net';
import type { Completion, ResultColumns, ResultRow, ResultSink, Value } from '../wire/result.js';
import { columnType, toBinaryRow } from './binary_row.js';
import type { ErrorAnswer } from './error_answer.js';
import {
  PACKET_HEADER_BYTES,
  framed,
  lengthEncodedInteger,
  lengthEncodedString,
} from '../wire/packet.js';
import {
  CharacterSet,
  FieldType,
  MAXIMUM_PAYLOAD_BYTES,
  OK_MARKER,
  SESSION_TRACK_GTIDS,
  StatusFlag,
} from '../wire/protocol.js';
import { textRow } from '../wire/text_row.js';

/** Bytes of an answer that are collected before they are written: a write for each packet costs more than the packet. */
const FLUSH_BYTES = 16 * 1024;

function statusFlags(inTransaction: boolean): number {
  return StatusFlag.autocommit | (inTransaction ? StatusFlag.inTransaction : 0);
}

function unsigned16(value: number): Buffer {
  const bytes = Buffer.alloc(2);
  bytes.writeUInt16LE(value);
  return bytes;
}

function typeOfValue(value: Value): number {
  if (typeof value === 'number') {
    return Number.isSafeInteger(value) ? FieldType.longLong : FieldType.double;
  }
  return Buffer.isBuffer(value) ? FieldType.blob : FieldType.varString;
}

/** Payload of a column definition. */
export function columnDefinition(name: string, type: number): Buffer {
  const isText = type === FieldType.varString;
  const fixed = Buffer.alloc(13);
  fixed[0] = 12;
  fixed.writeUInt16LE(isText ? CharacterSet.utf8mb4 : CharacterSet.binary, 1);
  fixed.writeUInt32LE(255, 3);
  fixed[7] = type;
  const empty = lengthEncodedString('');
  const label = lengthEncodedString(name);
  return Buffer.concat([lengthEncodedString('def'), empty, empty, empty, label, label, fixed]);
}

/** Writer of one caller connection. */
export class ResultWriter implements ResultSink {
  private pending: Buffer[] = [];
  private pendingBytes = 0;
  private sequence = 1;
  private binary = false;
  private tracksGtids = false;
  private names: readonly string[] | undefined;
  private types: number[] = [];
  private hasHeader = false;

  constructor(private readonly socket: Socket) {}

  /**
   * Starts the answer to a new command.
   * @param sequence - number of its first packet
   */
  begin(binary: boolean, sequence = 1): void {
    this.sequence = sequence;
    this.binary = binary;
    this.names = undefined;
    this.hasHeader = false;
  }

  /** Tells GTIDs in OK packets from now on (`session_track_gtids`). */
  trackGtids(): void {
    this.tracksGtids = true;
  }

  columns(columns: ResultColumns): void {
    if (columns.kind === 'names') {
      // Types are known only with the first row.
      this.names = columns.names;
      return;
    }
    this.hasHeader = true;
    this.payload(lengthEncodedInteger(columns.packets.length));
    for (const packet of columns.packets) this.framedPacket(packet);
    if (this.binary) {
      const payloads = columns.packets.map((packet) => packet.subarray(PACKET_HEADER_BYTES));
      this.types = payloads.map(columnType);
    }
    this.endOfFile(false);
  }

  row(row: ResultRow): void {
    if (!Buffer.isBuffer(row)) {
      this.ensureHeader(row);
      this.textPayload(textRow(row));
    } else if (this.binary) {
      this.textPayload(row.subarray(PACKET_HEADER_BYTES));
    } else {
      this.framedPacket(row);
    }
    if (this.pendingBytes >= FLUSH_BYTES) this.flush();
  }

  readyForMore(): Promise<void> | undefined {
    if (!this.socket.writableNeedDrain || this.socket.destroyed) return undefined;
    return new Promise((resolve) => {
      const done = (): void => {
        this.socket.off('drain', done);
        this.socket.off('close', done);
        resolve();
      };
      this.socket.once('drain', done);
      this.socket.once('close', done);
    });
  }

  /** Ends an answer that succeeded. */
  complete(completion: Completion): void {
    this.ensureHeader([]);
    if (this.hasHeader) this.endOfFile(completion.inTransaction);
    else this.ok(completion);
    this.flush();
  }

  /** Ends an answer with an error, also in the middle of rows. */
  error(answer: ErrorAnswer): void {
    const head = Buffer.from([0xff, answer.code & 0xff, answer.code >> 8]);
    this.payload(Buffer.concat([head, Buffer.from(`#${answer.sqlState}${answer.message}`)]));
    this.flush();
  }

  /**
   * Writes an error in place of the greeting. Nothing is agreed with the client yet, so the packet has no SQLSTATE.
   */
  refuseConnection({ code, message }: ErrorAnswer): void {
    this.begin(false, 0);
    this.payload(
      Buffer.concat([Buffer.from([0xff, code & 0xff, code >> 8]), Buffer.from(message)]),
    );
    this.flush();
  }

  /** Writes one packet of a payload made here. */
  payload(payload: Buffer): void {
    this.framedPacket(framed(payload));
  }

  /** Ends a list of definitions or rows. */
  endOfFile(inTransaction: boolean): void {
    this.payload(
      Buffer.concat([Buffer.from([0xfe, 0, 0]), unsigned16(statusFlags(inTransaction))]),
    );
  }

  /** Sends everything collected so far. */
  flush(): void {
    if (this.pending.length === 0) return;
    const bytes = this.pending.length === 1 ? this.pending[0]! : Buffer.concat(this.pending);
    this.pending = [];
    this.pendingBytes = 0;
    if (this.socket.writable) this.socket.write(bytes);
  }

  private ok(completion: Completion): void {
    const track = this.tracksGtids && completion.gtid !== undefined;
    const status = statusFlags(completion.inTransaction);
    const parts = [
      Buffer.from([OK_MARKER]),
      lengthEncodedInteger(completion.affectedRows),
      lengthEncodedInteger(completion.insertId),
      unsigned16(track ? status | StatusFlag.sessionStateChanged : status),
      unsigned16(0),
    ];
    if (this.tracksGtids) parts.push(lengthEncodedString(completion.info));
    else parts.push(Buffer.from(completion.info));
    if (track) parts.push(this.gtidState(completion.gtid ?? ''));
    this.payload(Buffer.concat(parts));
  }

  /** Session state information of an OK packet, with one GTID entry. */
  private gtidState(gtid: string): Buffer {
    const content = Buffer.concat([Buffer.from([0]), lengthEncodedString(gtid)]);
    const entry = Buffer.concat([Buffer.from([SESSION_TRACK_GTIDS]), lengthEncodedString(content)]);
    return lengthEncodedString(entry);
  }

  private ensureHeader(firstRow: readonly Value[]): void {
    if (!this.names) return;
    const definitions = this.names.map((name, index) =>
      columnDefinition(name, typeOfValue(firstRow[index] ?? '')),
    );
    this.names = undefined;
    this.columns({ kind: 'packets', packets: definitions.map(framed) });
  }

  private textPayload(payload: Buffer): void {
    this.payload(this.binary ? toBinaryRow(payload, this.types) : payload);
  }

  /** Queues a packet whose first four bytes are free for the header. */
  private framedPacket(packet: Buffer): void {
    const length = packet.length - PACKET_HEADER_BYTES;
    if (length >= MAXIMUM_PAYLOAD_BYTES) {
      this.splitPacket(packet.subarray(PACKET_HEADER_BYTES));
      return;
    }
    packet[0] = length & 0xff;
    packet[1] = (length >> 8) & 0xff;
    packet[2] = length >> 16;
    packet[3] = this.sequence;
    this.sequence = (this.sequence + 1) & 0xff;
    this.pending.push(packet);
    this.pendingBytes += packet.length;
  }

  private splitPacket(payload: Buffer): void {
    for (let from = 0; from <= payload.length; from += MAXIMUM_PAYLOAD_BYTES) {
      const part = payload.subarray(from, from + MAXIMUM_PAYLOAD_BYTES);
      const header = Buffer.alloc(PACKET_HEADER_BYTES);
      header.writeUIntLE(part.length, 0, 3);
      header[3] = this.sequence;
      this.sequence = (this.sequence + 1) & 0xff;
      this.pending.push(header, part);
    }
    this.flush();
  }
}

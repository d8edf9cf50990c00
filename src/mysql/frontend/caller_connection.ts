/** One caller's connection: handshake, then one command after the other. */
import type { Socket } from 'node:net';
import { DatabaseError, RequestError, messageOf } from '../../errors/errors.js';
import type { CallerIdentity, CallerSession } from './caller_session.js';
import { ConnectionActivity, type PendingCommand } from './connection_activity.js';
import { errorAnswer, stoppingAnswer, abandonedAnswer } from './error_answer.js';
import type { MysqlListenerOptions } from './mysql_listener.js';
import { verifyNativePassword } from './native_password.js';
import { type Packet, payloadOf } from '../wire/packet.js';
import {
  type PreparedStatement,
  bind,
  prepareOkPayload,
  readBoundValues,
  splitAtMarkers,
} from './prepared_statement.js';
import { CharacterSet, Command, FieldType, MysqlError, StatusFlag } from '../wire/protocol.js';
import { ResultWriter, columnDefinition } from './result_writer.js';

/** Capability flags announced to clients. */
const CAPABILITY_FLAGS =
  0x1 | // long password
  0x2 | // found rows
  0x4 | // long flag
  0x8 | // connect with schema
  0x200 | // protocol 4.1
  0x2000 | // transactions
  0x8000 | // secure connection
  0x80000 | // authentication plugins
  0x100000 | // connect attributes
  0x200000; // length-encoded authentication data
const CAPABILITY_SESSION_TRACK = 0x800000;

/** Longest time from an accepted connection to the end of its handshake, in milliseconds; guess, not measured. */
const HANDSHAKE_TIMEOUT_MS = 5000;
/** Number of the packet that answers a client's part of the handshake. */
const HANDSHAKE_ANSWER_SEQUENCE = 2;
/** Commands without an answer in the protocol. */
const UNANSWERED_COMMANDS: ReadonlySet<number> = new Set([
  Command.closeStatement,
  Command.sendLongData,
  Command.quit,
]);
const COMMAND_NAMES: ReadonlyMap<number, string> = new Map(
  Object.entries(Command).map(([name, number]) => [number, name]),
);

/** Prepared statements of one connection; a caller that leaks them is told so before it fills the memory. Guess, not measured. */
const MAXIMUM_PREPARED_STATEMENTS = 1024;

/** The part of the library's connection that the server side uses. */
export interface ServerConnection {
  readonly stream: Socket;
  sequenceId: number;
  /** Prepared statements of a client; unused on the server side. */
  _statements: unknown;
  /** Handler of incoming packets; it returns whether it is done. */
  readonly _command: { execute(packet: Packet): boolean };
  readonly clientHelloReply?: {
    readonly clientFlags: number;
    readonly connectAttributes?: Record<string, string>;
  };
  serverHandshake(options: object): void;
  on(event: string, listener: (...values: never[]) => void): void;
}

interface AuthenticationRequest {
  readonly user: string;
  readonly database?: string;
  readonly authPluginData1: Buffer;
  readonly authPluginData2: Buffer;
  readonly authToken: Buffer | string;
}

type AuthenticationCallback = (error: null, refusal?: { message: string; code: number }) => void;

/** A connection of one caller. */
export class CallerConnection {
  private readonly writer: ResultWriter;
  private readonly statements = new Map<number, PreparedStatement>();
  private session: CallerSession | undefined;
  private lastCommand: Promise<void> = Promise.resolve();
  private nextStatementId = 1;
  private readonly activity = new ConnectionActivity(() => this.closeIdle());
  private inTransaction = false;
  private stopping = false;
  private closed = false;

  constructor(
    private readonly connection: ServerConnection,
    private readonly options: MysqlListenerOptions,
    readonly connectionId: number,
    private readonly refuse: boolean,
  ) {
    this.writer = new ResultWriter(connection.stream);
  }

  /** Sends the greeting and starts to serve commands. */
  start(): void {
    const { connection } = this;
    connection.on('error', (error: Error) => {
      this.options.onConnectionError?.(messageOf(error));
      this.destroy();
    });
    const timeout = setTimeout(() => this.destroyUnlessOpen(), HANDSHAKE_TIMEOUT_MS);
    connection.stream.once('close', () => clearTimeout(timeout));
    connection.serverHandshake({
      protocolVersion: 10,
      serverVersion: this.options.serverVersion,
      connectionId: this.connectionId,
      statusFlags: StatusFlag.autocommit,
      characterSet: CharacterSet.utf8mb4,
      capabilityFlags: CAPABILITY_FLAGS | CAPABILITY_SESSION_TRACK,
      authCallback: (request: AuthenticationRequest, callback: AuthenticationCallback) =>
        void this.authenticate(request, callback),
    });
  }

  /** Closes the connection as soon as no handshake, command or transaction is under way. */
  closeWhenIdle(): void {
    this.stopping = true;
    if (this.session) this.activity.closeWhenIdle();
  }

  /** Whether a caller has signed on. */
  get isSignedOn(): boolean {
    return this.session !== undefined;
  }

  /** Commands that have no answer. */
  get unanswered(): readonly PendingCommand[] {
    return this.activity.unanswered;
  }

  /** The command whose answer has not left this process. */
  get undelivered(): PendingCommand | undefined {
    return this.connection.stream.writableLength > 0 ? this.activity.lastCommand : undefined;
  }

  /** Gives each command that has no answer one, and closes the connection behind it. */
  conclude(): void {
    if (this.activity.isOver) return;
    const [running, ...queued] = this.activity.unanswered;
    this.activity.end();
    if (running) this.writer.error(abandonedAnswer(this.session?.mayTakeEffect ?? false));
    for (let count = queued.length; count > 0; count--) this.announceStop();
    if (!running) this.announceStop();
    this.connection.stream.end();
  }

  /** Cuts the connection off. */
  destroy(): void {
    this.connection.stream.destroy();
  }

  /** The connection is gone. */
  onClosed(): void {
    this.closed = true;
    this.session?.close();
    this.session = undefined;
    this.statements.clear();
  }

  private destroyUnlessOpen(): void {
    if (!this.session) this.destroy();
  }

  private async authenticate(
    request: AuthenticationRequest,
    callback: AuthenticationCallback,
  ): Promise<void> {
    if (this.refuse) {
      callback(null, { message: 'Too many connections', code: MysqlError.tooManyConnections });
      return;
    }
    if (this.stopping) {
      callback(null, stoppingAnswer());
      return;
    }
    const password = this.options.passwordOf(request.user);
    const challenge = Buffer.concat([request.authPluginData1, request.authPluginData2]);
    const token = Buffer.from(request.authToken);
    if (password === undefined || !verifyNativePassword(password, challenge, token)) {
      const message = `Access denied for user '${request.user}'`;
      callback(null, { message, code: MysqlError.accessDenied });
      return;
    }
    const identity: CallerIdentity = {
      connectionId: this.connectionId,
      user: request.user,
      schema: request.database ?? '',
      attributes: this.connection.clientHelloReply?.connectAttributes ?? {},
    };
    try {
      const session = await this.options.openSession(identity);
      if (this.closed) {
        session.close();
        return;
      }
      this.session = session;
      void session.ended?.then(() => this.destroy());
      const flags = this.connection.clientHelloReply?.clientFlags ?? 0;
      if (flags & CAPABILITY_SESSION_TRACK) this.writer.trackGtids();
      callback(null);
      this.takeOverCommands();
      // The stop began while the session was being opened.
      if (this.stopping) this.activity.closeWhenIdle();
    } catch (error) {
      const answer = errorAnswer(error);
      callback(null, { message: answer.message, code: answer.code });
    }
  }

  /**
   * From here on packets come to this class. The library's own dispatch would decode each command a second
   * time, answer some by itself, and break the connection on parameters of binary types.
   */
  private takeOverCommands(): void {
    this.connection.sequenceId = 0;
    this.connection._command.execute = (packet) => {
      this.enqueue(packet.clone(), packet.readInt8());
      return false;
    };
  }

  private enqueue(packet: Packet, command: number): void {
    this.connection.sequenceId = 0;
    this.activity.commandStarted({
      name: COMMAND_NAMES.get(command) ?? String(command),
      isAnswered: !UNANSWERED_COMMANDS.has(command),
      readAt: performance.now(),
    });
    this.lastCommand = this.lastCommand.then(() => this.run(packet, command));
  }

  private async run(packet: Packet, command: number): Promise<void> {
    try {
      if (!this.closed && !this.activity.isOver && this.session)
        await this.dispatch(packet, command, this.session);
    } catch (error) {
      this.writer.error(errorAnswer(error));
    } finally {
      this.activity.setInTransaction(this.inTransaction);
      this.activity.commandEnded();
    }
  }

  /** Commands that arrive from now on are not run, and their senders are told so. */
  private closeIdle(): void {
    this.announceStop();
    this.connection.stream.end();
  }

  private announceStop(): void {
    if (this.session) this.writer.begin(false);
    else this.writer.begin(false, HANDSHAKE_ANSWER_SEQUENCE);
    this.writer.error(stoppingAnswer());
  }

  private async dispatch(packet: Packet, command: number, session: CallerSession): Promise<void> {
    this.writer.begin(command === Command.execute);
    const payload = payloadOf(packet).subarray(1);
    switch (command) {
      case Command.query:
        return this.query(session, payload.toString('utf8'));
      case Command.execute:
        return this.execute(session, packet);
      case Command.prepare:
        return this.prepare(payload.toString('utf8'));
      case Command.closeStatement:
        this.statements.delete(payload.readUInt32LE(0));
        return;
      case Command.sendLongData:
        this.statements.delete(payload.readUInt32LE(0));
        return;
      case Command.initDb:
        this.writer.complete(await session.useSchema(payload.toString('utf8')));
        return;
      case Command.resetConnection:
        await session.reset();
        this.inTransaction = false;
        this.statements.clear();
        return this.done();
      case Command.ping:
      case Command.resetStatement:
        return this.done();
      case Command.setOption:
        this.writer.endOfFile(this.inTransaction);
        return this.writer.flush();
      case Command.quit:
        this.connection.stream.end();
        return;
      default:
        throw new DatabaseError('Unknown command', {
          code: MysqlError.unknownCommand,
          sqlState: '08S01',
        });
    }
  }

  private done(): void {
    this.writer.complete({
      affectedRows: 0,
      insertId: 0,
      info: '',
      inTransaction: this.inTransaction,
    });
  }

  private async query(session: CallerSession, sql: string): Promise<void> {
    try {
      const completion = await session.execute(sql, this.writer);
      this.inTransaction = completion.inTransaction;
      this.writer.complete(completion);
    } catch (error) {
      if (error instanceof RequestError) this.inTransaction = false;
      throw error;
    }
  }

  private prepare(sql: string): void {
    if (this.statements.size >= MAXIMUM_PREPARED_STATEMENTS) {
      throw new DatabaseError('Too many prepared statements on this connection', {
        code: MysqlError.tooManyPreparedStatements,
        sqlState: '42000',
      });
    }
    const statement: PreparedStatement = {
      id: this.nextStatementId++,
      pieces: splitAtMarkers(sql),
      parameterTypes: [],
    };
    this.statements.set(statement.id, statement);
    this.writer.payload(prepareOkPayload(statement));
    const parameterCount = statement.pieces.length - 1;
    for (let index = 0; index < parameterCount; index++) {
      this.writer.payload(columnDefinition('?', FieldType.varString));
    }
    if (parameterCount > 0) this.writer.endOfFile(this.inTransaction);
    this.writer.flush();
  }

  private execute(session: CallerSession, packet: Packet): Promise<void> {
    packet.offset = packet.start + 5;
    const id = packet.readInt32();
    const statement = this.statements.get(id);
    if (!statement) {
      throw new DatabaseError(`Unknown prepared statement handler (${id})`, {
        code: MysqlError.unknownStatement,
        sqlState: 'HY000',
      });
    }
    return this.query(session, bind(statement, readBoundValues(packet, statement)));
  }
}

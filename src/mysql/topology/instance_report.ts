/** What one instance says of itself, read through the published Group Replication tables. */
import type { BackendConnection } from '../backend/backend.js';
import type { ResultRow, ResultSink, Value } from '../wire/result.js';
import { WhinyokeError } from '../../errors/errors.js';
import { splitTextRow } from '../wire/text_row.js';
import { PACKET_HEADER_BYTES } from '../wire/packet.js';
import { type Position } from '../../positions/position.js';
import { newestPosition } from './gtid.js';

/** One answer of an instance to a probe. */
export interface InstanceReport {
  /** Whether the instance says that it is the primary and accepts writes. */
  readonly isPrimary: boolean;
  /** Whether it is a full member; one that is still recovering proves nothing. */
  readonly isOnline: boolean;
  /** Term of the group as this member knows it. */
  readonly term: number;
  /** Newest transaction that is durable on the instance. */
  readonly received: Position;
  /** Newest transaction that reads on the instance see. */
  readonly executed: Position;
  /** Whether the instance asks for no new work (`offline_mode`). */
  readonly isLeaving: boolean;
  /** Reading of this process's clock when the probe was sent, in milliseconds. */
  readonly sentAt: number;
}

/**
 * The probe. The received set comes before the view in the output: a member that held a position and is
 * afterwards still at a term has not dropped that position.
 */
export const PROBE_STATEMENT =
  'SELECT RECEIVED_TRANSACTION_SET, @@gtid_executed, MEMBER_ROLE, MEMBER_STATE, VIEW_ID,' +
  ' @@offline_mode FROM performance_schema.replication_connection_status' +
  ' JOIN performance_schema.replication_group_members USING (CHANNEL_NAME)' +
  ' JOIN performance_schema.replication_group_member_stats USING (MEMBER_ID)' +
  ' WHERE MEMBER_ID = @@server_uuid';

const COLUMN_COUNT = 6;

/** Values of a row in text form, whether it came decoded or as a packet. */
export function textValues(row: ResultRow): (string | null)[] {
  const values: readonly Value[] = Buffer.isBuffer(row)
    ? splitTextRow(row.subarray(PACKET_HEADER_BYTES))
    : row;
  return values.map((value) => (value === null ? null : value.toString()));
}

/** Runs a statement and returns its rows in text form. */
export async function queryText(
  connection: BackendConnection,
  sql: string,
): Promise<(string | null)[][]> {
  const rows: (string | null)[][] = [];
  const sink: ResultSink = {
    columns: () => undefined,
    row: (row) => void rows.push(textValues(row)),
  };
  await connection.execute(sql, sink);
  return rows;
}

/** Term in a view identifier, `prefix:number`. */
function termOfView(viewId: string): number {
  const term = Number(viewId.slice(viewId.lastIndexOf(':') + 1));
  return Number.isSafeInteger(term) ? term : 0;
}

/** Probes an instance over an open connection. */
export async function probe(
  connection: BackendConnection,
  sentAt: number,
): Promise<InstanceReport> {
  const rows = await queryText(connection, PROBE_STATEMENT);
  const row = rows[0];
  if (row?.length !== COLUMN_COUNT) throw new WhinyokeError('instance is not in a group');
  const [received, executed, role, state, viewId, offline] = row;
  return {
    received: newestPosition(received ?? ''),
    executed: newestPosition(executed ?? ''),
    isPrimary: role === 'PRIMARY',
    isOnline: state === 'ONLINE',
    term: termOfView(viewId ?? ''),
    isLeaving: offline === '1',
    sentAt,
  };
}

/**
 * The published Group Replication surface of an emulated instance.
 * Source: MySQL 8.4 reference manual, "Group Replication Monitoring" and "Tagged GTIDs".
 */
import { splitAddress } from '../../src/runtime/address.js';
import type { GroupMember } from './group_member.js';
import type { Value } from './sql/syntax.js';

/** Universally unique identifier under which a group numbers its transactions. */
export const GROUP_UUID = 'aaaaaaaa-aaaa-4aaa-8aaa-aaaaaaaaaaaa';

/** A GTID set of one group: one tag `t<term>` for each term, with the sequences of that term. */
export function gtidSet(member: GroupMember, upTo: 'executed' | 'received'): string {
  const runs = member.termRuns(upTo);
  if (runs.length === 0) return '';
  const tags = runs.map((run) => `t${run.term}:${run.first}-${run.last}`);
  return `${GROUP_UUID}:${tags.join(':')}`;
}

/** Rows of a joined read of performance_schema tables, one for each member of the group. */
export function memberRows(
  member: GroupMember,
  serverUuid: string,
  members: readonly string[],
): ReadonlyMap<string, Value>[] {
  return members.map((address) => {
    const isSelf = address === serverUuid;
    const { host, port } = splitAddress(address);
    const isPrimary = isSelf ? member.isWritable : member.knownPrimary === address;
    return new Map<string, Value>([
      ['CHANNEL_NAME', 'group_replication_applier'],
      ['MEMBER_ID', address],
      ['MEMBER_HOST', host],
      ['MEMBER_PORT', port],
      ['MEMBER_STATE', isSelf && !member.isOnline ? 'RECOVERING' : 'ONLINE'],
      ['MEMBER_ROLE', isPrimary ? 'PRIMARY' : 'SECONDARY'],
      ['VIEW_ID', `whinyoke:${member.term}`],
      ['RECEIVED_TRANSACTION_SET', isSelf ? gtidSet(member, 'received') : null],
    ]);
  });
}

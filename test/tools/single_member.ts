/** A single consensus member `b` of a cluster of `a`, `b` and `c`, with its own disk. */
import { RaftLog } from '../../src/consensus/raft_log.js';
import { RaftNode } from '../../src/consensus/raft_node.js';
import { DEFAULT_RAFT_OPTIONS, type RaftOptions } from '../../src/consensus/raft_options.js';
import { RealClock } from '../../src/runtime/real_clock.js';
import type { DataFolder, MessageBody } from '../../src/runtime/runtime.js';
import { SeededRandom } from '../../src/runtime/seeded_random.js';

const MEMBERS = ['a', 'b', 'c'];

/** Replies to a message that the member sends to a peer. */
export type PeerAnswerer = (body: MessageBody) => Promise<MessageBody>;

export const UNREACHABLE_PEERS: PeerAnswerer = () => Promise.reject(new Error('peer unreachable'));

/** Opens member `b` on a folder; `answer` replies to its messages to peers. */
export async function openSingleMember(
  folder: DataFolder,
  answer: PeerAnswerer,
  options: Partial<RaftOptions> = {},
): Promise<RaftNode> {
  const messenger = {
    request: (_address: string, body: MessageBody) => answer(body),
    serve: () => undefined,
  };
  const runtime = { clock: new RealClock(), random: new SeededRandom(1), messenger, folder };
  const machine = {
    apply: () => new Uint8Array(0),
    serialize: () => new Uint8Array(0),
    restore: () => undefined,
  };
  const log = await RaftLog.open(folder);
  const node = new RaftNode('b', '127.0.0.1:b', runtime, log, machine, {
    ...DEFAULT_RAFT_OPTIONS,
    ...options,
  });
  await node.bootstrap(MEMBERS.map((id) => ({ id, address: `127.0.0.1:${id}`, isLearner: false })));
  return node;
}

/** Guards against elections without an end where storing a vote takes longer than the wait between two attempts. */
import { setTimeout } from 'node:timers/promises';
import t from 'tap';
import { MemoryFolder } from '../tools/memory_folder.js';
import { UNREACHABLE_PEERS, type PeerAnswerer, openSingleMember } from '../tools/single_member.js';

const ELECTION_MS = 20;
const STORING_MS = 10 * ELECTION_MS;
const LIMIT_MS = 20 * STORING_MS;

/** A folder that stores slowly. */
class SlowFolder extends MemoryFolder {
  override async replace(name: string, bytes: Uint8Array): Promise<void> {
    await setTimeout(STORING_MS);
    await super.replace(name, bytes);
  }
}

/** Grants every vote. */
const grant: PeerAnswerer = (body) => {
  const { voteRequest } = body;
  if (!voteRequest) return UNREACHABLE_PEERS(body);
  const { preVote, receiver, term } = voteRequest;
  const voteReply = { term: preVote ? 0 : (term ?? 0), granted: true, voter: receiver ?? '' };
  return Promise.resolve({ voteReply });
};

void t.test('a member with a slow disk is elected', async (t) => {
  const node = await openSingleMember(new SlowFolder(), grant, {
    electionTimeoutMs: ELECTION_MS,
  });
  t.teardown(() => node.stop());
  node.start();
  const giveUpAt = performance.now() + LIMIT_MS;
  let hasLed = false;
  while (!hasLed && performance.now() < giveUpAt) {
    await setTimeout(1);
    hasLed = node.role === 'leader';
  }
  t.ok(hasLed, `it leads; term ${node.currentTerm}`);
});

/**
 * Claims on addresses: a late heartbeat of a crashed instance must not remove the instance that now
 * has its address.
 */
import t from 'tap';
import { Catalog } from '../../src/appointed/catalog/catalog.js';
import { AddressClaims } from '../../src/appointed/control/address_claim.js';
import { CatalogService } from '../../src/appointed/control/catalog_service.js';
import { InstanceMonitor } from '../../src/appointed/failover/instance_monitor.js';
import type { RaftNode } from '../../src/consensus/raft_node.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import {
  ConnectError,
  type ConnectFailure,
  type InstanceConnector,
} from '../../src/appointed/instance/instance_connection.js';

const { InstanceState, CatalogOutcome } = whinyoke;
const ADDRESS = '10.0.0.1:1';

/**
 * A leader whose connector finds instance `answeringId` at the address, or fails with `failure`.
 */
function leaderWith(
  failure: ConnectFailure | undefined,
  answeringId = '',
): {
  readonly catalog: Catalog;
  advance(durationMs: number): void;
  sendHeartbeat(id: string, sequence: number): Promise<whinyoke.ICatalogReply>;
} {
  const catalog = new Catalog();
  let now = 1000;
  let index = 0;
  const clock = { now: () => now, setTimer: () => ({ cancel: () => undefined }) };
  const connector: InstanceConnector = {
    connect: ({ id }) => {
      if (failure) return Promise.reject(new ConnectError(failure, { failure }));
      if (id !== answeringId)
        return Promise.reject(new ConnectError(answeringId, { failure: 'wrongInstance' }));
      const connection = {
        run: () => Promise.reject(new Error('unused')),
        close: () => undefined,
        closed: false,
        onClosed: undefined,
      };
      return Promise.resolve({ connection });
    },
  };
  const monitor = new InstanceMonitor();
  const node = { role: 'leader', isReadyLeader: true } as unknown as RaftNode;
  const messenger = { request: () => Promise.reject(new Error('unused')), serve: () => undefined };
  const service = new CatalogService({
    clock,
    messenger,
    node,
    catalog,
    monitor,
    claims: new AddressClaims(clock, catalog, monitor, connector),
    propose: (command) => {
      const bytes = whinyoke.CatalogCommand.encode(command).finish();
      return Promise.resolve(whinyoke.CatalogResult.decode(catalog.apply(++index, bytes)));
    },
    log: () => undefined,
  });
  return {
    catalog,
    advance: (durationMs) => (now += durationMs),
    sendHeartbeat: (id, sequence) =>
      service.submit({ beat: { instance: { id, group: 'g', address: ADDRESS, sequence } } }),
  };
}

void t.test(
  'a late heartbeat of an unknown instance does not remove the instance at its address',
  async (t) => {
    const leader = leaderWith(undefined, 'new');
    await leader.sendHeartbeat('new', 1);
    leader.advance(500);
    t.equal(
      (await leader.sendHeartbeat('old', 90)).outcome,
      CatalogOutcome.DONE,
      'the sender need not retry',
    );
    t.equal(leader.catalog.instance('old'), undefined);
    t.equal(leader.catalog.instance('new')?.state, InstanceState.READY);
  },
);

void t.test(
  'an instance that answers at the address takes it over, and the former holder stays gone',
  async (t) => {
    const leader = leaderWith(undefined, 'new');
    await leader.sendHeartbeat('old', 5);
    leader.advance(500);
    await leader.sendHeartbeat('new', 1);
    t.equal(leader.catalog.instance('new')?.state, InstanceState.READY);
    t.equal(leader.catalog.instance('old')?.state, InstanceState.GONE);
    await leader.sendHeartbeat('old', 6);
    t.equal(
      leader.catalog.instance('old')?.state,
      InstanceState.GONE,
      'a late heartbeat of the former holder',
    );
    t.equal(leader.catalog.instance('new')?.state, InstanceState.READY);
  },
);

void t.test(
  'if the address does not answer, a claim is granted only after the holder timed out',
  async (t) => {
    const leader = leaderWith('silent');
    await leader.sendHeartbeat('old', 5);
    leader.advance(500);
    t.equal(
      (await leader.sendHeartbeat('new', 1)).outcome,
      CatalogOutcome.UNAVAILABLE,
      'the holder may still be alive',
    );
    leader.advance(3000);
    t.equal((await leader.sendHeartbeat('new', 2)).outcome, CatalogOutcome.DONE);
    t.equal(leader.catalog.instance('new')?.state, InstanceState.READY);
  },
);

/** Start times of instances in heartbeats and deregistrations over HTTP. */
import type { AddressInfo } from 'node:net';
import t from 'tap';
import { HEARTBEAT } from '../tools/heartbeat.js';
import { ControlApi } from '../../platform/control_api.js';
import type { AppointedControl } from '../../src/appointed/control/appointed_control.js';
import type { RoutingDocumentReader } from '../../src/appointed/catalog/route_table.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';

void t.test('heartbeats and deregistrations carry the start time of an instance', async (t) => {
  const received: whinyoke.IInstanceBeat[] = [];
  const submit = ({ beat }: whinyoke.ICatalogRequest): Promise<whinyoke.ICatalogReply> => {
    received.push(beat!);
    return Promise.resolve({ outcome: whinyoke.CatalogOutcome.DONE });
  };
  const core = { submit, expectsHeartbeat: () => true } as unknown as AppointedControl;
  const api = new ControlApi(
    core,
    {} as RoutingDocumentReader,
    () => undefined,
    () => undefined,
  );
  const server = await api.listen('127.0.0.1:0');
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  const post = async (call: string, body: string): Promise<number> => {
    const url = `http://127.0.0.1:${port}/instances/i-1/${call}`;
    const { status } = await fetch(url, { method: 'POST', body });
    return status;
  };
  const heartbeatWith = (change: object): string => JSON.stringify({ ...HEARTBEAT, ...change });
  t.equal(await post('heartbeat', heartbeatWith({ born: 1_800_000_000_123 })), 200);
  t.match(received.at(-1), { instance: { id: 'i-1', born: 1_800_000_000_123, sequence: 4 } });
  t.equal(await post('heartbeat', heartbeatWith({})), 200);
  t.equal(received.at(-1)?.instance?.born, undefined, 'a heartbeat without a start time');
  t.equal(await post('deregister', '{"born":7}'), 200);
  t.match(received.at(-1), { instance: { id: 'i-1', born: 7 }, leaves: true });
  t.equal(await post('deregister', ''), 200);
  t.equal(received.at(-1)?.instance?.born, undefined);
  const count = received.length;
  for (const born of ['7', 1.5, -1, null, 1e300]) {
    t.equal(await post('heartbeat', heartbeatWith({ born })), 400, `born ${born}`);
    t.equal(await post('deregister', JSON.stringify({ born })), 400, `born ${born}`);
  }
  t.equal(received.length, count, 'no invalid start time was submitted');
});

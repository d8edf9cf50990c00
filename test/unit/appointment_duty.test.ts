/** Who may call the platform: a holder of the duty that stood still must not use its former token. */
import t from 'tap';
import { Catalog } from '../../src/appointed/catalog/catalog.js';
import { AppointmentLease } from '../../src/appointed/failover/appointment_lease.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';

const { AppointOutcome } = whinyoke;
const SELF = { name: 'control-1', address: '10.0.0.1:1' };

void t.test('a holder calls only while it knows the newest state of the duty', async (t) => {
  const catalog = new Catalog();
  const takeDuty = { holder: SELF.name, holderAddress: SELF.address };
  catalog.apply(1, whinyoke.CatalogCommand.encode({ takeDuty }).finish());
  const calls: number[] = [];
  let isCurrent = true;
  const duty = new AppointmentLease(
    SELF,
    catalog,
    { request: () => Promise.reject(new Error('unused')), serve: () => undefined },
    {
      appoint: (_group, _instance, { token }) => {
        calls.push(token);
        return Promise.resolve(AppointOutcome.APPOINTED);
      },
    },
    () => Promise.reject(new Error('unused')),
    () => true,
    () => isCurrent,
  );
  t.equal(await duty.appoint('g', 'i'), AppointOutcome.APPOINTED);
  isCurrent = false;
  t.equal(await duty.appoint('g', 'i'), AppointOutcome.TRY_LATER, 'it may have a successor');
  const request = { group: 'g', instance: 'i', token: 1 };
  t.equal((await duty.onRequest(request)).outcome, AppointOutcome.TRY_LATER);
  t.same(calls, [1]);
});

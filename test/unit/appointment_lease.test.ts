/** Guards against a holder of the appointment lease that stalled and calls the platform under its old token. */
import t from 'tap';
import { Catalog } from '../../src/appointed/catalog/catalog.js';
import { AppointmentLease } from '../../src/appointed/failover/appointment_lease.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';

const { AppointOutcome } = whinyoke;
const SELF = { name: 'control-1', address: '10.0.0.1:1' };

void t.test(
  'a holder whose view of the lease may be outdated does not call the platform',
  async (t) => {
    const catalog = new Catalog();
    const takeDuty = { holder: SELF.name, holderAddress: SELF.address };
    catalog.apply(1, whinyoke.CatalogCommand.encode({ takeDuty }).finish());
    const calls: number[] = [];
    let isCurrent = true;
    const lease = new AppointmentLease({
      self: SELF,
      catalog,
      messenger: { request: () => Promise.reject(new Error('unused')), serve: () => undefined },
      appointer: {
        appoint: (_group, _instance, { token }) => {
          calls.push(token);
          return Promise.resolve(AppointOutcome.APPOINTED);
        },
      },
      propose: () => Promise.reject(new Error('unused')),
      log: () => undefined,
      contact: {
        isInTouch: () => true,
        get isCurrent() {
          return isCurrent;
        },
      },
    });
    t.equal(await lease.appoint('g', 'i'), AppointOutcome.APPOINTED);
    isCurrent = false;
    t.equal(
      await lease.appoint('g', 'i'),
      AppointOutcome.TRY_LATER,
      'another holder may have taken the lease',
    );
    const request = { group: 'g', instance: 'i', token: 1 };
    t.equal((await lease.onRequest(request)).outcome, AppointOutcome.TRY_LATER);
    t.same(calls, [1]);
  },
);

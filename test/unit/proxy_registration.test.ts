/** Incarnations of proxies: what a killed one reports late must not count for its successor. */
import t from 'tap';
import { Catalog } from '../../src/appointed/catalog/catalog.js';
import { ProxyRegistrar } from '../../src/appointed/control/proxy_registrar.js';
import { LeaseLedger } from '../../src/appointed/failover/lease_ledger.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';

function createRegistrar(): { catalog: Catalog; registrar: ProxyRegistrar } {
  const catalog = new Catalog();
  let index = 0;
  const registrar = new ProxyRegistrar(catalog, (command) => {
    const bytes = whinyoke.CatalogCommand.encode(command).finish();
    return Promise.resolve(whinyoke.CatalogResult.decode(catalog.apply(++index, bytes)));
  });
  return { catalog, registrar };
}

/** Log entries that are committed one by one, when the test says so. */
class SlowLog {
  readonly catalog = new Catalog();
  readonly registrar = new ProxyRegistrar(this.catalog, (command) => this.propose(command));
  private readonly entries: (() => void)[] = [];
  private index = 0;

  async commitNext(): Promise<void> {
    await new Promise(setImmediate);
    this.entries.shift()?.();
    await new Promise(setImmediate);
  }

  private propose(command: whinyoke.ICatalogCommand): Promise<whinyoke.CatalogResult> {
    const bytes = whinyoke.CatalogCommand.encode(command).finish();
    return new Promise((resolve) => {
      this.entries.push(() => {
        resolve(whinyoke.CatalogResult.decode(this.catalog.apply(++this.index, bytes)));
      });
    });
  }
}

const KILLED = { id: 'p', incarnation: 'killed', address: '1' };
const SUCCESSOR = { id: 'p', incarnation: 'successor', address: '1' };

// Guards against a change of primary that does not wait for a proxy's lease, after a late request of its former process.
void t.test('a late request of a killed proxy does not replace its successor', async (t) => {
  const { catalog, registrar } = createRegistrar();
  const ledger = new LeaseLedger();
  ledger.beginLeadership(-Infinity, 0);
  t.ok(await registrar.register(KILLED));
  t.ok(await registrar.register(SUCCESSOR));
  ledger.grant('g', SUCCESSOR, 3000);
  t.notOk(await registrar.register(KILLED), 'it is refused');
  t.equal(catalog.proxy('p')?.incarnation, 'successor');
  t.notOk(
    ledger.revocationState('g', 2, catalog.proxies, 1000).isComplete,
    'the change waits for the lease of the successor',
  );
  t.ok(await registrar.register(SUCCESSOR));
  const copy = new Catalog();
  copy.restore(9, catalog.serialize());
  const again = whinyoke.CatalogCommand.encode({ putProxies: { proxies: [KILLED] } }).finish();
  copy.apply(10, again);
  t.equal(copy.proxy('p')?.incarnation, 'successor', 'also after a snapshot');
});

void t.test('a proxy may restart often; the newest incarnations are remembered', async (t) => {
  const { catalog, registrar } = createRegistrar();
  for (let start = 1; start <= 9; start++) {
    t.ok(await registrar.register({ id: 'p', incarnation: `i${start}` }));
    const { proxyLossVersion } = catalog;
    t.ok(await registrar.register({ id: 'p', incarnation: `i${start}` }), 'again: no change');
    t.equal(catalog.proxyLossVersion, proxyLossVersion);
  }
  for (const late of ['i8', 'i7', 'i6', 'i5']) {
    t.notOk(await registrar.register({ id: 'p', incarnation: late }), late);
  }
  t.ok(await registrar.register({ id: 'q', incarnation: 'i8' }), 'of another proxy');
});

// Guards against a change of primary that does not wait for a proxy's lease, since the proxy was removed right after it got it.
void t.test(
  'a proxy that comes back during its removal is registered when it is answered',
  async (t) => {
    const log = new SlowLog();
    const first = log.registrar.register(SUCCESSOR);
    await log.commitNext();
    t.ok(await first);
    const removal = log.registrar.remove(SUCCESSOR);
    let isAnswered = false;
    const again = log.registrar.register(SUCCESSOR).then((isRegistered) => {
      isAnswered = true;
      return isRegistered;
    });
    await new Promise(setImmediate);
    t.notOk(isAnswered, 'its request waits for the removal');
    await log.commitNext();
    await removal;
    await log.commitNext();
    t.ok(await again);
    t.equal(log.catalog.proxy('p')?.incarnation, 'successor');
  },
);

void t.test('a proxy that is being registered is not removed', async (t) => {
  const log = new SlowLog();
  const first = log.registrar.register(KILLED);
  await log.commitNext();
  t.ok(await first);
  const registration = log.registrar.register(SUCCESSOR);
  await new Promise(setImmediate);
  await log.registrar.remove(KILLED);
  await log.commitNext();
  t.ok(await registration);
  await log.commitNext();
  t.equal(log.catalog.proxy('p')?.incarnation, 'successor');
});

void t.test('requests of a proxy go on after a removal that failed', async (t) => {
  const catalog = new Catalog();
  const put = whinyoke.CatalogCommand.encode({ putProxies: { proxies: [SUCCESSOR] } }).finish();
  catalog.apply(1, put);
  const registrar = new ProxyRegistrar(catalog, () => Promise.reject(new Error('no majority')));
  await t.rejects(registrar.remove(SUCCESSOR), /no majority/);
  t.ok(await registrar.register(SUCCESSOR));
});

/**
 * Compiled code that is stored beside a bundle is used by the next start. A build that stored it under another name made
 * every start compile anew, which took about a quarter more processor time, and nothing failed.
 */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { pathToFileURL } from 'node:url';
import t from 'tap';
import { loadCompiledModule } from '../../src/runtime/compiled_module.js';

const BUNDLE = '(function (exports, require, module) { exports.double = (value) => 2 * value; })';

interface Doubling {
  double(value: number): number;
}

void t.test('the second start uses the code that the first one stored', (t) => {
  const path = join(t.testdir({}), 'bundle.cjs');
  writeFileSync(path, BUNDLE);
  const first = loadCompiledModule(pathToFileURL(path));
  t.equal((first.exports as Doubling).double(4), 8);
  t.notOk(first.isCodeReused, 'nothing is stored yet');
  t.equal(first.codeFile, `${path}.code`);
  writeFileSync(first.codeFile, first.storeCode());
  const second = loadCompiledModule(pathToFileURL(path));
  t.ok(second.isCodeReused);
  t.equal((second.exports as Doubling).double(4), 8);
  t.end();
});

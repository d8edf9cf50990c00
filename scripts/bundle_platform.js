/**
 * Bundles the platform's programs into two files: a small one that starts to listen, and one with the rest. A
 * process that loads few files starts in less than half the time of one that loads all modules by themselves.
 *
 * Only files that differ are replaced, each at once: programs that are started meanwhile find theirs.
 */
import { mkdirSync, readFileSync, readdirSync, renameSync, rmSync, writeFileSync } from 'node:fs';
import { basename, join } from 'node:path';
import { build } from 'esbuild';

const TARGET = 'target';

/** CommonJS libraries in an ES module need `require`. */
const BANNER = [
  "import { createRequire as createRequireOfBundle } from 'node:module';",
  'const require = createRequireOfBundle(import.meta.url);',
].join('\n');

/** Replaces a file unless it holds the same already. */
function replaceFile(path, contents) {
  try {
    if (readFileSync(path).equals(contents)) return;
  } catch {
    // There is no such file yet.
  }
  const written = `${path}.${process.pid}.new`;
  writeFileSync(written, contents);
  renameSync(written, path);
}

const { outputFiles } = await build({
  entryPoints: { whinyoke: 'platform/main.ts' },
  outdir: TARGET,
  outExtension: { '.js': '.mjs' },
  chunkNames: '[name]-[hash]',
  bundle: true,
  write: false,
  splitting: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  minify: true,
  sourcemap: false,
  banner: { js: BANNER },
  // Optional parts of the log library that are not used.
  external: ['dtrace-provider', 'mv', 'source-map-support'],
  logLevel: 'warning',
});

mkdirSync(TARGET, { recursive: true });
for (const { path, contents } of outputFiles) replaceFile(path, Buffer.from(contents));
const present = new Set(outputFiles.map(({ path }) => basename(path)));
for (const name of readdirSync(TARGET)) {
  if (name.includes('.mjs') && !present.has(name)) rmSync(join(TARGET, name), { force: true });
}

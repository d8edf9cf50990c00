/**
 * Bundles the platform's programs into one file: a process that loads one file starts in less than half the
 * time of one that loads all modules by themselves.
 */
import { build } from 'esbuild';

/** CommonJS libraries in an ES module need `require`. */
const BANNER = [
  "import { createRequire as createRequireOfBundle } from 'node:module';",
  'const require = createRequireOfBundle(import.meta.url);',
].join('\n');

await build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/whinyoke.mjs',
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  minify: true,
  keepNames: true,
  sourcemap: false,
  banner: { js: BANNER },
  // Optional parts of the log library that are not used.
  external: ['dtrace-provider', 'mv', 'source-map-support'],
  logLevel: 'warning',
});

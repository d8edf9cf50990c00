/** HTTP endpoint for metrics, health and readiness. */
import { splitAddress } from '../runtime/address.js';
import { type Server, createServer } from 'node:http';
import type { Registry } from 'prom-client';

/** Data served by the endpoint. */
export interface MetricsSource {
  readonly registry: Registry;
  /** Whether the process can currently serve requests. */
  readonly isReady: () => boolean;
}

/** Starts the endpoint with `/metrics`, `/health` and `/ready`; rejects if the address cannot be bound. */
export async function startMetricsServer(address: string, source: MetricsSource): Promise<Server> {
  const server = createServer((request, response) => {
    void (async () => {
      switch (request.url) {
        case '/metrics':
          response.setHeader('content-type', source.registry.contentType);
          response.end(await source.registry.metrics());
          break;
        case '/health':
          response.end('ok\n');
          break;
        case '/ready':
          response.statusCode = source.isReady() ? 200 : 503;
          response.end(source.isReady() ? 'ready\n' : 'not ready\n');
          break;
        default:
          response.statusCode = 404;
          response.end('not found\n');
      }
    })();
  });
  const { host, port } = splitAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return server;
}

/** Body of a heartbeat as an instance of service `g` sends it. */
export const HEARTBEAT = {
  service: 'g',
  address: '10.0.0.9:8080',
  zone: 'z',
  version: 'v1',
  slots: 2,
  state: 'ready',
  warmup_remaining_ms: 0,
  database_role: 'replica',
  sequence: 4,
};

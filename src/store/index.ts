/**
 * Clients of the services that the platform provides: the key-value store and the instance list.
 * @packageDocumentation
 */
export { countValueBytes, defaultMaximumValueBytes, maximumTransactionEntries } from "./store.js";
export type {
  ConditionalWrite,
  ExpectedRevision,
  StoreChange,
  StoreChanges,
  StoreClient,
  StoreFailure,
  StoreFailureKind,
  StoreLease,
  StoreListing,
  StoreRecord,
  StoreTransaction,
  StoreWatch,
  TransactionalStore,
  TransactionResult,
  TransactionWrite,
  WatchHandlers,
  WriteResult,
} from "./store.js";
export { EtcdStoreClient, type EtcdStoreClientOptions } from "./etcd-store-client.js";
export type { BreakerState } from "./circuit-breaker.js";
export { GuardedStoreClient, type GuardedStoreClientOptions } from "./guarded-store-client.js";
export { followPrefix, type PrefixFollower, type PrefixFollowerOptions } from "./prefix-follower.js";
export { writeAndSettle } from "./settled-write.js";
export {
  createInstanceList,
  type InstanceList,
  type InstanceState,
  type ListedInstance,
} from "./instance-list.js";
export {
  createStoreMirror,
  type StoreMirror,
  type StoreMirrorEvents,
  type StoreMirrorOptions,
} from "./store-mirror.js";

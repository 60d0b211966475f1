package org.hickorycleat.model.message;

/** A message between two processes of hickorycleat. */
public sealed interface Message
        permits AgentReport,
                Cancel,
                CancelResult,
                CheckpointTask,
                ConfigurationUpdate,
                Failure,
                InstanceStanding,
                Fence,
                Forward,
                Hello,
                Invoke,
                InvokeResult,
                LeaseGrant,
                LeaseRequest,
                PeerSummary,
                StartTask,
                StopTask,
                TaskReport,
                ThrottleTask,
                Welcome {}

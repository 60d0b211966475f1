package org.hickorycleat.daemon.transport;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Optional;
import org.hickorycleat.model.message.AgentReport;
import org.hickorycleat.model.message.Cancel;
import org.hickorycleat.model.message.CancelResult;
import org.hickorycleat.model.message.CheckpointTask;
import org.hickorycleat.model.message.ConfigurationCopy;
import org.hickorycleat.model.message.ConfigurationRequest;
import org.hickorycleat.model.message.ConfigurationUpdate;
import org.hickorycleat.model.message.EntryHeartbeat;
import org.hickorycleat.model.message.Failure;
import org.hickorycleat.model.message.Fence;
import org.hickorycleat.model.message.FleetEntries;
import org.hickorycleat.model.message.FleetHello;
import org.hickorycleat.model.message.Forward;
import org.hickorycleat.model.message.Hello;
import org.hickorycleat.model.message.InterferenceWeights;
import org.hickorycleat.model.message.Invoke;
import org.hickorycleat.model.message.InvokeResult;
import org.hickorycleat.model.message.JobAccepted;
import org.hickorycleat.model.message.JobCancelled;
import org.hickorycleat.model.message.JobStates;
import org.hickorycleat.model.message.LeaseExtension;
import org.hickorycleat.model.message.LeaseGrant;
import org.hickorycleat.model.message.LeaseRequest;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.OwnerAnnouncement;
import org.hickorycleat.model.message.OwnershipOffer;
import org.hickorycleat.model.message.PeerSummary;
import org.hickorycleat.model.message.QueueBacklogs;
import org.hickorycleat.model.message.RegistrationConfirmation;
import org.hickorycleat.model.message.RelayedStoreRequest;
import org.hickorycleat.model.message.RelayedStoreResponse;
import org.hickorycleat.model.message.RunRejected;
import org.hickorycleat.model.message.RunTraits;
import org.hickorycleat.model.message.StartRun;
import org.hickorycleat.model.message.StartTask;
import org.hickorycleat.model.message.StopRun;
import org.hickorycleat.model.message.StopTask;
import org.hickorycleat.model.message.TaskReport;
import org.hickorycleat.model.message.ThrottleTask;
import org.hickorycleat.model.message.Welcome;
import org.hickorycleat.model.message.WorkerReport;
import org.hickorycleat.model.result.ResultCode;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Encodes messages as the content of frames, and decodes it: version, type number, fields. */
public final class MessageCodec {
    /** Version of the protocol between processes. */
    public static final int PROTOCOL_VERSION = 2;

    /** Maximum size of the content of a frame, in bytes. */
    public static final int MAXIMUM_FRAME_BYTES = 1 << 20;

    // The position in this list is the type number on the wire; new types are only appended.
    private static final List<Class<? extends Message>> TYPES =
            List.of(
                    Hello.class,
                    Welcome.class,
                    AgentReport.class,
                    Invoke.class,
                    InvokeResult.class,
                    Cancel.class,
                    CancelResult.class,
                    ConfigurationUpdate.class,
                    Fence.class,
                    StartTask.class,
                    StopTask.class,
                    CheckpointTask.class,
                    ThrottleTask.class,
                    LeaseRequest.class,
                    LeaseGrant.class,
                    TaskReport.class,
                    Forward.class,
                    PeerSummary.class,
                    Failure.class,
                    RegistrationConfirmation.class,
                    FleetHello.class,
                    FleetEntries.class,
                    EntryHeartbeat.class,
                    OwnerAnnouncement.class,
                    OwnershipOffer.class,
                    WorkerReport.class,
                    LeaseExtension.class,
                    StartRun.class,
                    StopRun.class,
                    RunRejected.class,
                    RunTraits.class,
                    JobAccepted.class,
                    JobCancelled.class,
                    JobStates.class,
                    RelayedStoreRequest.class,
                    RelayedStoreResponse.class,
                    ConfigurationCopy.class,
                    InterferenceWeights.class,
                    ConfigurationRequest.class,
                    QueueBacklogs.class);

    private final RecordCodec mRecords = new RecordCodec();

    /** Encodes a message as the content of a frame. */
    public byte[] encode(Message message) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(3);
            packer.packInt(PROTOCOL_VERSION);
            packer.packInt(TYPES.indexOf(message.getClass()));
            mRecords.write(packer, message.getClass(), message);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Decodes a message, or returns the failure that says why it cannot be decoded. */
    public Either<Failure, Message> decode(byte[] content) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(content)) {
            return read(unpacker);
        } catch (IOException | MessagePackException e) {
            return Either.left(failure(ResultCode.MALFORMED_FRAME, e));
        } catch (RuntimeException e) {
            // Value types reject values out of range with various runtime exceptions.
            return Either.left(failure(ResultCode.MALFORMED_FRAME, e));
        }
    }

    private Either<Failure, Message> read(MessageUnpacker unpacker) throws IOException {
        if (unpacker.unpackArrayHeader() != 3) {
            return Either.left(new Failure(ResultCode.MALFORMED_FRAME, "expected 3 elements"));
        }
        int version = unpacker.unpackInt();
        if (version != PROTOCOL_VERSION) {
            return Either.left(new Failure(ResultCode.PROTOCOL_VERSION, "version " + version));
        }
        int number = unpacker.unpackInt();
        Optional<Class<? extends Message>> type = type(number);
        if (type.isEmpty()) {
            return Either.left(new Failure(ResultCode.UNKNOWN_MESSAGE, "type " + number));
        }
        Message message = (Message) mRecords.read(unpacker, type.get());
        if (unpacker.hasNext()) {
            return Either.left(new Failure(ResultCode.MALFORMED_FRAME, "trailing bytes"));
        }
        return Either.right(message);
    }

    private static Optional<Class<? extends Message>> type(int number) {
        if (number < 0 || number >= TYPES.size()) {
            return Optional.empty();
        }
        return Optional.of(TYPES.get(number));
    }

    private static Failure failure(ResultCode code, Exception cause) {
        return new Failure(code, cause.getClass().getSimpleName());
    }
}
